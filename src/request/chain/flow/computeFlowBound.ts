import type { FlowBound } from "./flowBound.ts";
import type { FlowBoundOptions } from "./flowBoundOptions.ts";
import { FlowNetwork } from "./flowNetwork.ts";

/**
 * Computes the most positions a second that the endpoints and links can carry, by maximum flow.
 *
 * A token costs one position, and so does a position of the prompt: the bound in generated tokens is that in positions
 * times the generated part of all positions. The bound is never below what can be reached; it is above where one link
 * must carry several intervals of a model, or several models, since each of them gets the whole link.
 * @param options - Models, endpoints, links and where the nodes are.
 */
export function computeFlowBound(options: FlowBoundOptions): FlowBound {
    const together = FlowNetwork.create(options);
    const positionsPerSecond = together.findLargestScale();
    const alone = options.models.map((model): [string, number] => [
        model.name,
        options.models.length === 1
            ? positionsPerSecond
            : FlowNetwork.create({ ...options, models: [model] }).findLargestScale(),
    ]);
    return { positionsPerSecond, positionsPerSecondAlone: new Map(alone), flows: together.getFlows() };
}
