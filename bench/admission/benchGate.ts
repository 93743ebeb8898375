import { Admission } from "../../src/request/admission/admission.ts";
import type { AdmissionOptions } from "../../src/request/admission/admissionOptions.ts";
import type { AdmissionRequest } from "../../src/request/admission/admissionRequest.ts";

/**
 * Admission control as the benchmark calls it. It calls back once, either with a function that ends the run or with a
 * retry delay.
 */
export type BenchGate = (
    request: AdmissionRequest,
    onAdmit: (release: (tokens: number) => void) => void,
    onRefuse: (retryAfterMilliseconds: number) => void,
) => void;

/** Gates that the benchmark compares. */
export const BenchGate = {
    /** Creates a gate from the admission control of production, `src/request/admission`. */
    createAdmission: (options: AdmissionOptions): BenchGate => {
        const admission = Admission.create(options);
        return (request, onAdmit, onRefuse) => {
            void admission.requestAdmission(request).then(result => {
                if (result.ok) {
                    const ticket = result.val;
                    onAdmit(tokens => ticket.release({ tokens }));
                }
                else {
                    onRefuse(result.val.retryAfterMilliseconds);
                }
            });
        };
    },
    /**
     * Creates an unbounded first-in, first-out queue without refusals. Waiting requests are dropped when their callers
     * disconnect.
     */
    createFirstInFirstOut: (concurrencyLimit: number): BenchGate => {
        const waiting: { request: AdmissionRequest; onAdmit: (release: (tokens: number) => void) => void; }[] = [];
        let head = 0;
        let running = 0;
        const admitWaiting = (): void => {
            while (running < concurrencyLimit && head < waiting.length) {
                const next = waiting[head++];
                if (next === undefined || next.request.signal?.aborted) {
                    continue;
                }
                running++;
                next.onAdmit(() => {
                    running--;
                    admitWaiting();
                });
            }
        };
        return (request, onAdmit) => {
            waiting.push({ request, onAdmit });
            admitWaiting();
        };
    },
} as const;
