import { setTimeout as sleep } from "node:timers/promises";
import { createFullEndpointsKind } from "./createFullEndpointsKind.ts";
import { harmlessFaultKinds } from "./harmlessFaultKinds.ts";

/** Time for which an endpoint drains before it resets its streams, less than streams last. */
const drainMilliseconds = [0, 400] as const;

/** Endpoints are replaced in series as planned, with streams that have not ended, while all others refuse new requests as full. */
export const replacementWhileOthersAreFull = createFullEndpointsKind({
    events: 5,
    intervalMilliseconds: [2_000, 3_500],
    fullAfterMilliseconds: [0, 0],
    fullMilliseconds: [800, 1_200],
    happen: async ({ random, timeline }, endpoint) => {
        const entry = timeline.start(harmlessFaultKinds.replaced, endpoint.name);
        endpoint.startLeaving();
        await sleep(random.chooseInteger(...drainMilliseconds));
        endpoint.proxy.resetConnections();
        await endpoint.crash();
        endpoint.unregister();
        await endpoint.start();
        timeline.end(entry);
    },
});
