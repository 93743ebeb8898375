import { setTimeout as sleep } from "node:timers/promises";

const pollMilliseconds = 50;
const defaultLimitMilliseconds = 15_000;

/**
 * Polls a condition until it is true.
 * @param what - Describes the condition in the error message.
 * @param condition - The condition.
 * @param limitMilliseconds - Maximum wait, which only ends a hanging test.
 * @throws Error if the condition is not true in time.
 */
export async function waitFor(
    what: string,
    condition: () => Promise<boolean>,
    limitMilliseconds = defaultLimitMilliseconds,
): Promise<void> {
    const deadline = Date.now() + limitMilliseconds;
    while (Date.now() < deadline) {
        if (await condition()) {
            return;
        }
        await sleep(pollMilliseconds);
    }
    throw new Error(`Timed out waiting until ${what}.`);
}
