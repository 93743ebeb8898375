import { setTimeout as sleep } from "node:timers/promises";
import type { SeededRandom } from "../seededRandom.ts";

/**
 * Starts to send requests with random pauses.
 * @param pauseMilliseconds - Minimum and maximum pause.
 * @param send - Sends one request, without waiting for its answer.
 * @returns Ends the sending.
 */
export function startSending(
    random: SeededRandom,
    pauseMilliseconds: readonly [number, number],
    send: () => void,
): () => void {
    let isEnded = false;
    const sendAll = async () => {
        while (!isEnded) {
            send();
            await sleep(random.chooseInteger(...pauseMilliseconds));
        }
    };
    void sendAll();
    return () => {
        isEnded = true;
    };
}
