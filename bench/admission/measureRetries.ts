import { Admission } from "../../src/request/admission/admission.ts";
import { VirtualClock } from "../../tests/support/virtualClock.ts";
import { createBenchConfiguration } from "./createBenchConfiguration.ts";
import { createRandom } from "./createRandom.ts";

const concurrencyLimit = 64;
const runMilliseconds = 1_000;
const callers = 3_000;
const binMilliseconds = 1_000;

/** Result of one run. */
interface RetriesResult {
    /** Number of requests sent in each second of the run. */
    bins: readonly number[];
    served: number;
    /** Time at which the last request was served, in milliseconds. */
    servedAt: number;
}

/** Measures how 3,000 callers that arrive within 100 ms retry until all are served. */
export async function measureRetries(): Promise<void> {
    console.log(
        `\nRetries: ${callers} callers within 100 ms, each of which retries until it is served; capacity`
            + ` ${concurrencyLimit} per second, maximum wait 2 s`,
    );
    for (const kind of ["given delay", "fixed 1 s"]) {
        const { bins, served, servedAt } = await runRetries(kind === "given delay");
        const retries = bins.slice(3);
        const retryCount = retries.reduce((sum, count) => sum + count, 0);
        console.log([
            kind.padEnd(13),
            `served ${served - concurrencyLimit} of ${callers} in ${((servedAt - 2_000) / 1000).toFixed(1)} s`
            + ` (capacity allows ${(callers / concurrencyLimit).toFixed(1)} s)`,
            `retries ${retryCount}`,
            `maximum per second ${Math.max(...retries)}`,
        ].join(", "));
    }
}

/**
 * Sends the requests of all callers, who retry until they are served.
 * @param usesGivenDelay - Whether callers retry after the delay that they are given; otherwise after 1 s.
 */
async function runRetries(usesGivenDelay: boolean): Promise<RetriesResult> {
    const clock = VirtualClock.create();
    const random = createRandom(3);
    const admission = createAdmission(clock);
    const bins = new Array<number>(300).fill(0);
    let served = 0;
    let servedAt = 0;
    const send = (): void => {
        const bin = Math.floor(clock.getMonotonicTime() / binMilliseconds);
        bins[bin] = (bins[bin] ?? 0) + 1;
        void admission.requestAdmission({ customer: "customer", gate: "model", cost: 1 }).then(result => {
            if (result.err) {
                clock.setTimer(usesGivenDelay ? result.val.retryAfterMilliseconds : 1_000, send);
                return;
            }
            const ticket = result.val;
            clock.setTimer(runMilliseconds, () => {
                ticket.release({ tokens: 1 });
                served++;
                servedAt = clock.getMonotonicTime();
            });
        });
    };
    // Runs before the burst let the admission control measure its drain rate.
    for (let index = 0; index < concurrencyLimit; index++) {
        send();
    }
    await clock.runUntil(2 * runMilliseconds);
    for (let index = 0; index < callers; index++) {
        clock.setTimer(random() * 100, send);
    }
    await clock.runUntil(300_000);
    return { bins, served, servedAt };
}

function createAdmission(clock: VirtualClock): Admission {
    const configuration = createBenchConfiguration({ customer: {} }, {
        maximumQueueMilliseconds: 2_000,
        maximumQueuedRequests: 1_000,
    });
    return Admission.create({
        getConfiguration: () => configuration,
        clock,
        random: createRandom(4),
        getConcurrencyLimit: () => concurrencyLimit,
    });
}
