import type { StartedNode } from "./routerTestHarness.ts";

/** An endpoint in the status of a node. */
interface EndpointStatus {
    registeredId: string;
    isDraining: boolean;
}

/** Lists the endpoints that a node knows, ordered by id. */
export function listEndpoints({ node }: StartedNode): EndpointStatus[] {
    const { endpoints } = node.getStatus() as { endpoints: EndpointStatus[]; };
    return endpoints.toSorted((left, right) => left.registeredId < right.registeredId ? -1 : 1);
}
