import { createFaultKind } from "../createFaultKind.ts";
import type { FaultKind } from "../faultKind.ts";
import type { RouterSoakContext } from "./routerSoakContext.ts";
import type { SoakEndpoint } from "./soakEndpoint.ts";
import { takeEndpoint } from "./takeEndpoint.ts";

type EndpointPair = readonly [SoakEndpoint, SoakEndpoint];

/** Two endpoints crash, and the first starts again at the address of the second, whose store record still exists. */
export const endpointTakesAddress: FaultKind<RouterSoakContext> = createFaultKind({
    weight: 3,
    durationMilliseconds: [200, 2_000],
    take: takePair,
    getName: ([endpoint]) => endpoint.name,
    inject: startAtOtherAddress,
    revert: (_, [, other]) => other.restart(),
    release: (_, pair) => {
        for (const endpoint of pair) {
            endpoint.isTaken = false;
        }
    },
});

function takePair(context: RouterSoakContext): EndpointPair | undefined {
    const endpoint = takeEndpoint(context);
    const other = takeEndpoint(context);
    if (endpoint !== undefined && other !== undefined) {
        return [endpoint, other];
    }
    if (endpoint !== undefined) {
        endpoint.isTaken = false;
    }
    return undefined;
}

async function startAtOtherAddress(_: RouterSoakContext, [endpoint, other]: EndpointPair): Promise<void> {
    await endpoint.crash();
    await other.crash();
    endpoint.unregister();
    endpoint.exchangeAddresses(other);
    await endpoint.start();
}
