import { maximumFullRateNodes } from "../../src/process/membership/maximumFullRateNodes.ts";
import { designSize } from "./designSize.ts";
import type { SlopeTable } from "./slopeTable.ts";
import type { Total } from "./total.ts";

const { nodes, runners, dataCentres, requestsPerSecond, tokensPerSecond, stages, betweenTokensMilliseconds } =
    designSize;
const observeRoundsPerSecond = 2;
const observersPerEndpoint = 3;
const coreMillisecondsPerSecond = 1_000;

/** Computes the cost of the requests on a node, and the additional cost when a data centre is lost. */
export function computePathTotals(slopes: SlopeTable): Total[] {
    const role = "data path of a node";
    const nodeRequestsPerSecond = requestsPerSecond / nodes;
    const hopsPerSecond = tokensPerSecond / nodes * stages;
    const requestSeconds = tokensPerSecond / requestsPerSecond * betweenTokensMilliseconds / 1_000;
    const runningRequests = nodeRequestsPerSecond * requestSeconds;
    const admission = nodeRequestsPerSecond * slopes.getValue("customers.admit", 0) / 1_000;
    const chainChoice = nodeRequestsPerSecond * slopes.getValue("chains.processor", runners) / 1_000;
    // The observers of an unreachable engine probe it in every round, the other nodes only in one of several rounds.
    const probesPerRound = 1 / Math.ceil(nodes / maximumFullRateNodes) + observersPerEndpoint / nodes;
    const probesPerSecond = runners / dataCentres * observeRoundsPerSecond * probesPerRound;
    const refusedProbes = probesPerSecond * slopes.getSlope("observer.refused") / 1_000;
    return [
        { role, quantity: "hops", value: hopsPerSecond, unit: "1/s" },
        {
            role,
            quantity: "processor, hops",
            value: hopsPerSecond * slopes.getSlope("path.hop"),
            unit: "ms/s",
            budget: coreMillisecondsPerSecond,
        },
        { role, quantity: "processor, admission", value: admission, unit: "ms/s" },
        { role, quantity: "processor, chain choice", value: chainChoice, unit: "ms/s" },
        { role, quantity: "running requests", value: runningRequests, unit: "requests" },
        {
            role,
            quantity: "memory, running",
            value: runningRequests * slopes.getSlope("path.heap") * 1_024 / 1e6,
            unit: "MB",
        },
        { role: "endpoint observer", quantity: "processor, a data centre is lost", value: refusedProbes, unit: "ms/s" },
    ];
}
