import type { CallKind } from "./callKind.ts";
import { modelRanks } from "./modelRanks.ts";
import type { RouterSoakContext } from "./routerSoakContext.ts";
import { startSending } from "./startSending.ts";

const kinds = Object.keys(modelRanks) as CallKind[];
/** Range of the pauses between requests. The mean rate of 66 a second is twice what the slots of two chains serve. */
const pauseMilliseconds = [0, 30] as const;
let lastRequest = 0;

/**
 * Starts a burst of model requests of all ranks.
 * @returns Ends the burst.
 */
export function startBurst({ callers, random }: Pick<RouterSoakContext, "callers" | "random">): () => void {
    return startSending(random, pauseMilliseconds, () => {
        lastRequest += 1;
        void callers.sendOfKind(`burst-${lastRequest}`, random.choose(kinds)!);
    });
}
