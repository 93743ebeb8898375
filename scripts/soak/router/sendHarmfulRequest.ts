import { setTimeout as sleep } from "node:timers/promises";
import { callKinds } from "./callKind.ts";
import type { RouterSoakContext } from "./routerSoakContext.ts";

/** Number of times that a harmful request is sent, and the range of delays between them. */
const harmfulRequests = 12;
const harmfulDelayMilliseconds = [50, 1_200] as const;
let lastHarmfulSeries = 0;

/** Sends a request repeatedly that crashes every endpoint that starts to run it. */
export async function sendHarmfulRequest({ callers, random }: RouterSoakContext): Promise<void> {
    const series = lastHarmfulSeries += 1;
    const kind = random.choose(Object.values(callKinds))!;
    for (let count = 0; count < harmfulRequests; count++) {
        void callers.sendHarmful(`harmful-${series}-${count}`, kind, `/${kind}/harmful-${series}`);
        await sleep(random.chooseInteger(...harmfulDelayMilliseconds));
    }
}
