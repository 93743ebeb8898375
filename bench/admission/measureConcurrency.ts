import { Admission } from "../../src/request/admission/admission.ts";
import { VirtualClock } from "../../tests/support/virtualClock.ts";
import { createBenchConfiguration } from "./createBenchConfiguration.ts";
import { createRandom } from "./createRandom.ts";

const givenLimit = 64;
const meanRunMilliseconds = 5_000;
const durationMilliseconds = 300_000;

/** Measures what learning from the refusals of engines is worth where they hold fewer requests than was said. */
export async function measureConcurrency(): Promise<void> {
    console.log(`\nConcurrency: ${givenLimit} places given, of which the engines hold 40, from 150 s on 60; load 1.5`);
    for (const isLearning of [true, false]) {
        const clock = VirtualClock.create();
        const random = createRandom(5);
        const configuration = createBenchConfiguration({ customer: {} });
        const admission = Admission.create({
            getConfiguration: () => configuration,
            clock,
            random: createRandom(6),
            getConcurrencyLimit: () => givenLimit,
        });
        const ended = [0, 0];
        const refused = [0, 0];
        let running = 0;
        const send = (): void => {
            void admission.requestAdmission({ customer: "customer", service: "model", cost: 100 }).then(result => {
                if (result.err) {
                    return;
                }
                const ticket = result.val;
                const half = clock.getMonotonicTime() < durationMilliseconds / 2 ? 0 : 1;
                if (running >= (half === 0 ? 40 : 60)) {
                    refused[half] = (refused[half] ?? 0) + 1;
                    if (isLearning) {
                        admission.observeRefusal("model");
                    }
                    // The engine's answer takes a while.
                    clock.setTimer(20, () => ticket.release({ tokens: 0 }));
                    return;
                }
                running++;
                clock.setTimer((0.5 + random()) * meanRunMilliseconds, () => {
                    running--;
                    ended[half] = (ended[half] ?? 0) + 1;
                    ticket.release({ tokens: 100 });
                });
            });
        };
        const arrive = (): void => {
            clock.setTimer(-Math.log(1 - random()) * meanRunMilliseconds / (1.5 * givenLimit), arrive);
            send();
        };
        arrive();
        await clock.runUntil(durationMilliseconds);
        const halfCapacity = durationMilliseconds / 2 / meanRunMilliseconds;
        console.log([
            isLearning ? "learning    " : "not learning",
            `used ${((ended[0] ?? 0) / halfCapacity / 40).toFixed(3)} of 40,`
            + ` then ${((ended[1] ?? 0) / halfCapacity / 60).toFixed(3)} of 60`,
            `refused by engines ${refused.join(", then ")}`,
        ].join(", "));
    }
}
