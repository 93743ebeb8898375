import { setTimeout as sleep } from "node:timers/promises";
import type { FaultKind } from "../faultKind.ts";
import { callKinds } from "./callKind.ts";
import { harmlessFaultKinds } from "./harmlessFaultKinds.ts";
import { isServiceTaken } from "./isServiceTaken.ts";
import { promptService } from "./promptService.ts";
import type { RouterSoakContext } from "./routerSoakContext.ts";
import type { SoakEndpoint } from "./soakEndpoint.ts";
import { startSending } from "./startSending.ts";

/** Options of {@link createFullEndpointsKind}. */
interface FullEndpointsOptions {
    /** Minimum and maximum pause between streams. The endpoints serve some ten at once. Default: 0 to 100. */
    pauseMilliseconds?: readonly [number, number];
    /** Number of endpoints that the event happens to, one after the other or overlapping. */
    events: number;
    /** Minimum and maximum time from one event to the next, in milliseconds. */
    intervalMilliseconds: readonly [number, number];
    /**
     * Minimum and maximum time from an event until the other endpoints are full, and for which they are, in milliseconds. Default: they
     * never are.
     */
    fullAfterMilliseconds?: readonly [number, number];
    fullMilliseconds?: readonly [number, number];
    /** What happens to an endpoint, which is reserved until it is over. */
    happen(context: RouterSoakContext, endpoint: SoakEndpoint): Promise<void>;
}

/** Time for which streams run before the first event, and after the last. */
const marginMilliseconds = 1_000;
/** Share of the events beside which the configuration changes. */
const changeShare = 0.6;
let lastRequest = 0;

/**
 * Creates a kind of fault in which something that ends no stream happens to endpoints in series, while the other endpoints of the same
 * service refuse new requests as full for a moment, beside changes of the configuration. Callers with patience send streams meanwhile.
 */
export function createFullEndpointsKind(options: FullEndpointsOptions): FaultKind<RouterSoakContext> {
    return {
        weight: 8,
        durationMilliseconds: [0, 0],
        isInBackground: true,
        prepare: context =>
            isServiceTaken(context, promptService)
                ? undefined
                : { target: promptService, inject: () => runSeries(context, options), revert: () => undefined },
    };
}

async function runSeries(context: RouterSoakContext, options: FullEndpointsOptions): Promise<void> {
    const { callers, deployment, random } = context;
    const { pauseMilliseconds = [0, 100] } = options;
    const endSending = startSending(random, pauseMilliseconds, () => {
        lastRequest += 1;
        void callers.sendWithPatience(`patient-${lastRequest}`, callKinds.prompt);
    });
    await sleep(marginMilliseconds);
    const active: Promise<void>[] = [];
    for (let count = 0; count < options.events; count++) {
        active.push(disturb(context, options));
        if (random.isHit(changeShare)) {
            deployment.configure();
        }
        await sleep(random.chooseInteger(...options.intervalMilliseconds));
    }
    await Promise.all(active);
    await sleep(marginMilliseconds);
    endSending();
}

/** Lets the event happen to an endpoint that no other fault uses, while the others of its service are full. */
async function disturb(context: RouterSoakContext, options: FullEndpointsOptions): Promise<void> {
    const { deployment, random } = context;
    const ofService = deployment.endpoints.filter(each => each.getService() === promptService);
    const endpoint = random.choose(ofService.filter(each => !each.isTaken && each.hasLayers()));
    if (endpoint === undefined) {
        return;
    }
    endpoint.isTaken = true;
    const others = ofService.filter(each => each !== endpoint);
    const happening = options.happen(context, endpoint);
    const { fullAfterMilliseconds, fullMilliseconds } = options;
    if (fullAfterMilliseconds !== undefined && fullMilliseconds !== undefined) {
        await sleep(random.chooseInteger(...fullAfterMilliseconds));
        await Promise.all(others.map(other => fill(context, other, random.chooseInteger(...fullMilliseconds))));
    }
    await happening;
    endpoint.isTaken = false;
}

async function fill({ timeline }: RouterSoakContext, endpoint: SoakEndpoint, milliseconds: number): Promise<void> {
    const entry = timeline.start(harmlessFaultKinds.full, endpoint.name);
    await endpoint.refuseAsFull(milliseconds);
    timeline.end(entry);
}
