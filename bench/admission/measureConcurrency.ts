import { Admission } from "../../src/request/admission/admission.ts";
import { VirtualClock } from "../../tests/support/virtualClock.ts";
import { createBenchConfiguration } from "./createBenchConfiguration.ts";
import { createRandom } from "./createRandom.ts";

const configuredLimit = 64;
const meanRunMilliseconds = 5_000;
const durationMilliseconds = 300_000;
/** Number of requests that the engines can run in each half of the run. */
const engineCapacities = [40, 60] as const;
/** Time until an engine's refusal arrives. */
const refusalMilliseconds = 20;

/** Number of requests that ended and that engines refused, in each half of the run. */
interface ConcurrencyResult {
    ended: [number, number];
    refused: [number, number];
}

/** Measures the effect of learning from engine refusals when engines can run fewer requests than configured. */
export async function measureConcurrency(): Promise<void> {
    console.log(
        `\nConcurrency: ${configuredLimit} requests configured; the engines can run 40, from 150 s on 60; load 1.5`,
    );
    for (const isLearning of [true, false]) {
        const { ended, refused } = await runConcurrency(isLearning);
        const halfCapacity = durationMilliseconds / 2 / meanRunMilliseconds;
        console.log([
            isLearning ? "learning    " : "not learning",
            `used ${(ended[0] / halfCapacity / engineCapacities[0]).toFixed(3)} of ${engineCapacities[0]},`
            + ` then ${(ended[1] / halfCapacity / engineCapacities[1]).toFixed(3)} of ${engineCapacities[1]}`,
            `refused by engines ${refused.join(", then ")}`,
        ].join(", "));
    }
}

async function runConcurrency(isLearning: boolean): Promise<ConcurrencyResult> {
    const clock = VirtualClock.create();
    const random = createRandom(5);
    const configuration = createBenchConfiguration({ customer: {} });
    const admission = Admission.create({
        getConfiguration: () => configuration,
        clock,
        random: createRandom(6),
        getConcurrencyLimit: () => configuredLimit,
    });
    const result: ConcurrencyResult = { ended: [0, 0], refused: [0, 0] };
    let running = 0;
    const send = (): void => {
        void admission.requestAdmission({ customer: "customer", gate: "model", cost: 100 }).then(answer => {
            if (answer.err) {
                return;
            }
            const ticket = answer.val;
            const half = clock.getMonotonicTime() < durationMilliseconds / 2 ? 0 : 1;
            if (running >= engineCapacities[half]) {
                result.refused[half]++;
                if (isLearning) {
                    admission.observeRefusal("model");
                }
                clock.setTimer(refusalMilliseconds, () => ticket.release({ tokens: 0 }));
                return;
            }
            running++;
            clock.setTimer((0.5 + random()) * meanRunMilliseconds, () => {
                running--;
                result.ended[half]++;
                ticket.release({ tokens: 100 });
            });
        });
    };
    const arrive = (): void => {
        clock.setTimer(-Math.log(1 - random()) * meanRunMilliseconds / (1.5 * configuredLimit), arrive);
        send();
    };
    arrive();
    await clock.runUntil(durationMilliseconds);
    return result;
}
