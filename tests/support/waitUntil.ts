import { setTimeout as sleep } from "node:timers/promises";

const pollMilliseconds = 10;
const limitMilliseconds = 20_000;

/**
 * Waits for a condition; the limit is only there to end a test that hangs.
 * @param what - What is waited for, for the error.
 * @param condition - Checked every few milliseconds.
 */
export async function waitUntil(what: string, condition: () => boolean): Promise<void> {
    for (let waited = 0; waited < limitMilliseconds; waited += pollMilliseconds) {
        if (condition()) {
            return;
        }
        await sleep(pollMilliseconds);
    }
    throw new Error(`Waited in vain until ${what}.`);
}
