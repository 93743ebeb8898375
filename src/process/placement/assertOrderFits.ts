import { getRequestMemory } from "../../request/relay/chains/getRequestMemory.ts";
import type { HeldLayers } from "../../request/relay/endpoints/heldLayers.ts";
import type { RegisteredEndpoint } from "../../request/relay/endpoints/registeredEndpoint.ts";
import type { EngineModel } from "../../version/routing/engineModel.ts";
import { InvariantError } from "../invariantError.ts";

/**
 * Asserts that an order leaves the endpoint memory for requests. Layers that do not fit would terminate the endpoint.
 */
export function assertOrderFits(model: EngineModel, endpoint: RegisteredEndpoint, { start, end }: HeldLayers): void {
    const kind = model.kinds.get(endpoint.kind ?? "");
    if (kind === undefined || getRequestMemory(model, kind, end - start) <= 0) {
        throw InvariantError.create("orderFits", `Layers ${start}-${end} do not fit in the memory of ${endpoint.id}.`);
    }
}
