import { setTimeout as sleep } from "node:timers/promises";

const pollMilliseconds = 50;
const defaultLimitMilliseconds = 15_000;

/**
 * Waits for what has to be asked of a process; the limit is only there to end a test that hangs.
 * @param what - What is waited for, for the error.
 * @param condition - Asked again and again.
 * @param limitMilliseconds - Longest wait, in milliseconds.
 */
export async function waitFor(
    what: string,
    condition: () => Promise<boolean>,
    limitMilliseconds = defaultLimitMilliseconds,
): Promise<void> {
    const giveUpAt = Date.now() + limitMilliseconds;
    while (Date.now() < giveUpAt) {
        if (await condition()) {
            return;
        }
        await sleep(pollMilliseconds);
    }
    throw new Error(`Waited in vain until ${what}.`);
}
