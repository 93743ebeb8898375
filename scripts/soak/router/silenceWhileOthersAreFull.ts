import { setTimeout as sleep } from "node:timers/promises";
import { createFullEndpointsKind } from "./createFullEndpointsKind.ts";
import { harmlessFaultKinds } from "./harmlessFaultKinds.ts";

const silenceMilliseconds = [800, 1_800] as const;
/** Share of the endpoints that go on answering status reports meanwhile. */
const reportShare = 0.5;

/** Endpoints stand still in series with their connections open, and then continue, while all others refuse new requests as full. */
export const silenceWhileOthersAreFull = createFullEndpointsKind({
    events: 12,
    intervalMilliseconds: [300, 1_500],
    fullAfterMilliseconds: [0, 800],
    fullMilliseconds: [200, 1_200],
    happen: async ({ random, timeline }, endpoint) => {
        const milliseconds = random.chooseInteger(...silenceMilliseconds);
        const entry = timeline.start(harmlessFaultKinds.standsStill, endpoint.name);
        endpoint.fallSilent(milliseconds, random.isHit(reportShare));
        await sleep(milliseconds);
        timeline.end(entry);
    },
});
