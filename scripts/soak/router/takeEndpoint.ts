import type { RouterSoakContext } from "./routerSoakContext.ts";
import type { SoakEndpoint } from "./soakEndpoint.ts";

/** Reserves an endpoint that no other fault uses; undefined if none is available. */
export function takeEndpoint({ deployment, random }: RouterSoakContext): SoakEndpoint | undefined {
    const endpoint = random.choose(deployment.endpoints.filter(({ isTaken }) => !isTaken));
    if (endpoint !== undefined) {
        endpoint.isTaken = true;
    }
    return endpoint;
}
