import { setTimeout as sleep } from "node:timers/promises";
import type { FaultKind } from "../faultKind.ts";
import { callKinds } from "./callKind.ts";
import { customers } from "./customers.ts";
import { harmlessFaultKinds } from "./harmlessFaultKinds.ts";
import { isServiceTaken } from "./isServiceTaken.ts";
import { promptService } from "./promptService.ts";
import type { RouterSoakContext } from "./routerSoakContext.ts";
import { startSending } from "./startSending.ts";

/** Maximum number of endpoints that break off streams. The others of the service are sound. */
const breakingEndpoints = 4;
/** Number of different requests, of the times that callers send each of them, and of those of these that are broken off. */
const requests = 20;
const copies = 4;
const brokenCopies = 2;
const copyIntervalMilliseconds = [0, 160] as const;
/** Pauses between different requests, and between streams that go on, so that the retry budget suffices for those that are broken off. */
const requestIntervalMilliseconds = [400, 800] as const;
const pauseMilliseconds = [0, 100] as const;
/** Time for which only streams run that go on. */
const marginMilliseconds = 1_000;
/** Number of events after which a stream breaks off. A request counts as harmless soon after the last of them. */
const eventsBeforeBreak = [0, 5] as const;
/** Share of the requests beside which the configuration changes. */
const changeShare = 0.3;
let lastRequest = 0;
let lastStream = 0;

/**
 * Some endpoints break off single streams, begun or not, and go on with the others. Callers send the same requests meanwhile. Each of
 * them is broken off once at most, so that its route allows another endpoint.
 */
export const streamsBreakOff: FaultKind<RouterSoakContext> = {
    weight: 8,
    durationMilliseconds: [0, 0],
    isInBackground: true,
    prepare: context =>
        isServiceTaken(context, promptService)
            ? undefined
            : { target: promptService, inject: () => breakOffInSeries(context), revert: () => undefined },
};

async function breakOffInSeries(context: RouterSoakContext): Promise<void> {
    const { callers, deployment, random, timeline } = context;
    const breaks = new Map<string, number>();
    const breaksOff = (requestId: string, sentEvents: number) =>
        breaks.get(requestId) === sentEvents && breaks.delete(requestId);
    const free = deployment.endpoints.filter(each => each.getService() === promptService && !each.isTaken);
    const breaking = free.slice(0, breakingEndpoints);
    const entries = breaking.map(endpoint => {
        endpoint.isTaken = true;
        endpoint.setBehaviour({ breaksOff });
        return timeline.start(harmlessFaultKinds.breaksOff, endpoint.name);
    });
    const endSending = startSending(random, pauseMilliseconds, () => {
        lastStream += 1;
        void callers.sendWithPatience(`going-on-${lastStream}`, callKinds.prompt);
    });
    await sleep(marginMilliseconds);
    const sent: Promise<void>[] = [];
    for (let count = 0; count < requests; count++) {
        sent.push(sendCopies(context, breaks));
        if (random.isHit(changeShare)) {
            deployment.configure();
        }
        await sleep(random.chooseInteger(...requestIntervalMilliseconds));
    }
    await Promise.all(sent);
    endSending();
    for (const [index, endpoint] of breaking.entries()) {
        endpoint.setBehaviour({});
        endpoint.isTaken = false;
        timeline.end(entries[index]!);
    }
}

/** Sends a request several times; resolves after the last response. */
async function sendCopies({ callers, random }: RouterSoakContext, breaks: Map<string, number>): Promise<void> {
    lastRequest += 1;
    const name = `same-${lastRequest}`;
    const content = { path: `/${callKinds.prompt}/${name}`, body: name, customer: customers[0]! };
    const sent: Promise<void>[] = [];
    for (let count = 0; count < copies; count++) {
        const id = `${name}-${count}`;
        if (count < brokenCopies) {
            breaks.set(id, random.chooseInteger(...eventsBeforeBreak));
        }
        sent.push(callers.sendWithPatience(id, callKinds.prompt, content));
        await sleep(random.chooseInteger(...copyIntervalMilliseconds));
    }
    await Promise.all(sent);
}
