import { setTimeout as sleep } from "node:timers/promises";
import { callKinds } from "./callKind.ts";
import { customers } from "./customers.ts";
import { harmfulBody } from "./harmfulBody.ts";
import { lateHarmfulBody } from "./lateHarmfulBody.ts";
import type { RouterSoakContext } from "./routerSoakContext.ts";

/** Number of times that a harmful request is sent, and the range of delays between them. */
const harmfulRequests = 12;
const harmfulDelayMilliseconds = [50, 1_200] as const;
const documentKinds: readonly string[] = [callKinds.safe, callKinds.unsafe];
let lastHarmfulSeries = 0;

/** Sends a request repeatedly that crashes every endpoint that starts to run it, or, with the other body, some time later. */
export async function sendHarmfulRequest(
    { callers, random }: RouterSoakContext,
    body: typeof harmfulBody | typeof lateHarmfulBody = harmfulBody,
): Promise<void> {
    const series = lastHarmfulSeries += 1;
    // A document is complete before the endpoint crashes, so that nothing connects the two.
    const kinds = Object.values(callKinds).filter(kind => body === harmfulBody || !documentKinds.includes(kind));
    const kind = random.choose(kinds)!;
    // The same path and body of another customer is another request. Those that crash endpoints late are recognized one by one.
    const customer = body === harmfulBody ? undefined : customers[0];
    for (let count = 0; count < harmfulRequests; count++) {
        const path = `/${kind}/harmful-${series}`;
        void callers.sendHarmful({ id: `harmful-${series}-${count}`, kind, path, body, customer });
        await sleep(random.chooseInteger(...harmfulDelayMilliseconds));
    }
}
