import { setTimeout as sleep } from "node:timers/promises";
import type { FaultKind } from "../faultKind.ts";
import { harmlessFaultKinds } from "./harmlessFaultKinds.ts";
import { RecordChange } from "./recordChange.ts";
import type { RouterSoakContext } from "./routerSoakContext.ts";
import type { SoakEndpoint } from "./soakEndpoint.ts";

/** Number of endpoints that stand still in a series, one after the other or overlapping. */
const silences = 16;
const silenceMilliseconds = [800, 2_600] as const;
/** How long a record is missing or draining beside a silence. */
const recordMilliseconds = [500, 3_000] as const;
/** What becomes of the record of an endpoint that stands still. */
const recordChanges = [undefined, RecordChange.Lapse, RecordChange.Draining] as const;
const intervalMilliseconds = [100, 900] as const;
/** Share of the silences beside which the configuration changes. */
const changeShare = 0.6;

/**
 * Endpoints stand still in series with their connections open, and then continue, also those with other faults. Some records lapse or say
 * meanwhile that the endpoint drains.
 */
export const endpointsStandStill: FaultKind<RouterSoakContext> = {
    weight: 16,
    durationMilliseconds: [0, 0],
    isInBackground: true,
    prepare: context =>
        context.timeline.isActive(harmlessFaultKinds.standsStill)
            ? undefined
            : { target: "endpoints", inject: () => silenceInSeries(context), revert: () => undefined },
};

async function silenceInSeries(context: RouterSoakContext): Promise<void> {
    const { deployment, random } = context;
    const silent = new Set<SoakEndpoint>();
    const active: Promise<void>[] = [];
    for (let count = 0; count < silences; count++) {
        const endpoint = random.choose(deployment.endpoints.filter(each => !silent.has(each)));
        if (endpoint !== undefined) {
            silent.add(endpoint);
            active.push(silence(context, endpoint).finally(() => silent.delete(endpoint)));
        }
        if (random.isHit(changeShare)) {
            deployment.configure();
        }
        await sleep(random.chooseInteger(...intervalMilliseconds));
    }
    await Promise.all(active);
}

async function silence({ random, timeline }: RouterSoakContext, endpoint: SoakEndpoint): Promise<void> {
    const milliseconds = random.chooseInteger(...silenceMilliseconds);
    const entry = timeline.start(harmlessFaultKinds.standsStill, endpoint.name);
    endpoint.fallSilent(milliseconds);
    const change = random.choose(recordChanges);
    const changing = change === undefined
        ? undefined
        : endpoint.changeRecord(change, random.chooseInteger(...recordMilliseconds));
    await sleep(milliseconds);
    await changing;
    timeline.end(entry);
}
