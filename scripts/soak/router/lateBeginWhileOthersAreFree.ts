import { setTimeout as sleep } from "node:timers/promises";
import { createFullEndpointsKind } from "./createFullEndpointsKind.ts";
import { harmlessFaultKinds } from "./harmlessFaultKinds.ts";

/** Longer than callers wait for the first event. */
const beginMilliseconds = 4_000;
const lateMilliseconds = [300, 1_200] as const;

/**
 * Endpoints, one after the other, take requests that they begin to answer only after their callers have left, while the others are free.
 * Streams are so few that most nodes have no other one that makes progress meanwhile.
 */
export const lateBeginWhileOthersAreFree = createFullEndpointsKind({
    pauseMilliseconds: [0, 600],
    events: 6,
    intervalMilliseconds: [2_800, 4_000],
    happen: async ({ random, timeline }, endpoint) => {
        const entry = timeline.start(harmlessFaultKinds.beginsLate, endpoint.name);
        endpoint.setBehaviour({ delayMilliseconds: beginMilliseconds });
        await sleep(random.chooseInteger(...lateMilliseconds));
        endpoint.setBehaviour({});
        timeline.end(entry);
    },
});
