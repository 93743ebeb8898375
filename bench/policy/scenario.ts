import { createSeededRandom } from "../../tests/support/createSeededRandom.ts";
import { computeFleetBound } from "./computeFleetBound.ts";
import { createFleet } from "./fleet.ts";
import { LoadDriver } from "./loadDriver.ts";
import type { Policy } from "./policy.ts";

const runners = 32;
/** Number of requests to keep running at saturation. */
const saturatingRequests = 2_400;
/** Mean number of positions of a request: 24 of the prompt, and 40 tokens of which the last one isn't fed back. */
const positionsPerRequest = 63;

/** Options for one scenario of the comparison. */
export interface ScenarioOptions {
    policy: Policy;
    fleetSeed: number;
    lagMilliseconds: number;
    /** Offered load as a fraction of the bound; undefined for saturation. */
    load?: number;
}

/** Result of one scenario. Latencies are in milliseconds: median, 95th and 99th percentile. */
export interface ScenarioResult {
    policy: string;
    fleetSeed: number;
    lagMilliseconds: number;
    load?: number;
    tokensPerSecond: number;
    /** Tokens per second at the bound: its positions per second without those of prompts. */
    boundTokensPerSecond: number;
    /** Processed positions per second as a fraction of the bound. */
    partOfBound: number;
    firstToken: readonly number[];
    betweenTokens: readonly number[];
}

/** Runs a policy on a fleet under a load. */
export function runScenario({ policy, fleetSeed, lagMilliseconds, load }: ScenarioOptions): ScenarioResult {
    const fleet = createFleet(runners, 1, createSeededRandom(fleetSeed));
    const bound = computeFleetBound(fleet).positionsPerSecond;
    const result = LoadDriver.run({
        fleet,
        policy,
        seed: 7,
        lagMilliseconds,
        requestsPerSecond: load === undefined ? 0 : load * bound / positionsPerRequest,
        runningRequests: load === undefined ? saturatingRequests : 0,
        warmupMilliseconds: load === undefined ? 60_000 : 10_000,
        measuredMilliseconds: 15_000,
    });
    const partOfBound = result.positionsPerSecond / bound;
    return {
        policy: policy.name,
        fleetSeed,
        lagMilliseconds,
        load,
        tokensPerSecond: result.tokensPerSecond,
        boundTokensPerSecond: result.tokensPerSecond / partOfBound,
        partOfBound,
        firstToken: result.firstToken,
        betweenTokens: result.betweenTokens,
    };
}
