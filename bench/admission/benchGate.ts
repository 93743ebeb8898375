import { Admission } from "../../src/request/admission/admission.ts";
import type { AdmissionOptions } from "../../src/request/admission/admissionOptions.ts";
import type { AdmissionRequest } from "../../src/request/admission/admissionRequest.ts";

/** What the bench asks of an admission: to call back once, with the way to end the run or with a time to return. */
export type BenchGate = (
    request: AdmissionRequest,
    onAdmit: (release: (tokens: number) => void) => void,
    onRefuse: (retryAfterMilliseconds: number) => void,
) => void;

/** The gates that the bench compares. */
export const BenchGate = {
    /** The code of `src/request/admission`. */
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
    /** First in, first out, without bounds and without refusals; what waits is dropped when its caller goes away. */
    createFirstInFirstOut: (places: number): BenchGate => {
        const waiting: { request: AdmissionRequest; onAdmit: (release: (tokens: number) => void) => void; }[] = [];
        let head = 0;
        let running = 0;
        const admitWaiting = (): void => {
            while (running < places && head < waiting.length) {
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
