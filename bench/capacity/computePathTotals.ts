import { unstretchedNodes } from "../../src/process/membership/unstretchedNodes.ts";
import { letterSize } from "./letterSize.ts";
import type { SlopeTable } from "./slopeTable.ts";
import type { Total } from "./total.ts";

const { nodes, runners, dataCentres, requestsPerSecond, tokensPerSecond, stages, betweenTokensMilliseconds } =
    letterSize;
const observeRoundsPerSecond = 2;
const observersOfEndpoint = 3;
const core = 1_000;

/** Works out what the requests themselves cost a node, and what the loss of a data centre adds. */
export function computePathTotals(slopes: SlopeTable): Total[] {
    const role = "data path of a node";
    const requests = requestsPerSecond / nodes;
    const hops = tokensPerSecond / nodes * stages;
    const runningSeconds = tokensPerSecond / requestsPerSecond * betweenTokensMilliseconds / 1_000;
    const running = requests * runningSeconds;
    const admission = requests * slopes.getValue("customers.admit", 0) / 1_000;
    const choice = requests * slopes.getValue("chains.processor", runners) / 1_000;
    // Every node asks each unreachable engine in one round of so many, its observers in each.
    const asksInRound = 1 / Math.ceil(nodes / unstretchedNodes) + observersOfEndpoint / nodes;
    const asks = runners / dataCentres * observeRoundsPerSecond * asksInRound;
    const refused = asks * slopes.getSlope("observer.refused") / 1_000;
    return [
        { role, quantity: "hops", value: hops, unit: "1/s" },
        { role, quantity: "processor, hops", value: hops * slopes.getSlope("path.hop"), unit: "ms/s", budget: core },
        { role, quantity: "processor, admission", value: admission, unit: "ms/s" },
        { role, quantity: "processor, chain choice", value: choice, unit: "ms/s" },
        { role, quantity: "running requests", value: running, unit: "requests" },
        { role, quantity: "memory, running", value: running * slopes.getSlope("path.heap") * 1_024 / 1e6, unit: "MB" },
        { role: "endpoint observer", quantity: "processor, a data centre is lost", value: refused, unit: "ms/s" },
    ];
}
