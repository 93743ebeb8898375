import { setTimeout as sleep } from "node:timers/promises";
import type { RouterSoakContext } from "./routerSoakContext.ts";
import type { SoakEndpoint } from "./soakEndpoint.ts";

/** Time that a leaving endpoint keeps serving before it stops; longer than the drain period of the nodes. */
const leavingMilliseconds = 3_000;

/** Ends an endpoint that has been leaving for some time, and starts it again. */
export async function stopAfterLeaving(_: RouterSoakContext, endpoint: SoakEndpoint): Promise<void> {
    await sleep(leavingMilliseconds);
    endpoint.unregister();
    await endpoint.crash();
    await endpoint.start();
}
