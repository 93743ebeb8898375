import type { FlowBound } from "./flowBound.ts";
import type { FlowBoundOptions } from "./flowBoundOptions.ts";
import { FlowNetwork } from "./flowNetwork.ts";

/**
 * Computes an upper bound on the positions per second that the endpoints and links can carry, by maximum flow.
 *
 * A generated token and a token of the prompt each cost one position, so the bound in generated tokens is the bound in
 * positions multiplied by the fraction of positions that are generated. The bound is never below the throughput that
 * can be reached. It is too high where one link carries several intervals of a model, or several models, because each
 * of them is given the link's full bandwidth.
 * @param options - Models, endpoints, links and the data centres of the nodes.
 */
export function computeFlowBound(options: FlowBoundOptions): FlowBound {
    const together = FlowNetwork.create(options);
    const positionsPerSecond = together.findMaximumPositionsPerSecond();
    const alone = options.models.map((model): [string, number] => [
        model.name,
        options.models.length === 1
            ? positionsPerSecond
            : FlowNetwork.create({ ...options, models: [model] }).findMaximumPositionsPerSecond(),
    ]);
    return { positionsPerSecond, positionsPerSecondAlone: new Map(alone), flows: together.getFlows() };
}
