import { setTimeout as sleep } from "node:timers/promises";

const pollMilliseconds = 10;
const limitMilliseconds = 20_000;

/**
 * Waits until a condition holds. The time limit only ends tests that hang.
 * @param what - Condition in words, for the error message.
 * @param condition - Checked every few milliseconds.
 */
export async function waitUntil(what: string, condition: () => boolean): Promise<void> {
    for (let waited = 0; waited < limitMilliseconds; waited += pollMilliseconds) {
        if (condition()) {
            return;
        }
        await sleep(pollMilliseconds);
    }
    throw new Error(`Timed out waiting until ${what}.`);
}
