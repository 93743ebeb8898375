import type { Clock } from "../../src/process/clock.ts";
import type { ChooseChainOptions } from "../../src/request/chain/chainChooser.ts";
import { createSeededRandom } from "../../tests/support/createSeededRandom.ts";
import { createFleet } from "./fleet.ts";
import type { Policy } from "./policy.ts";

const warmupDecisions = 2_000;
const measuredDecisions = 4_000;

/** Time of one decision in microseconds, on the machine that ran it. */
export interface DecisionCost {
    policy: string;
    runners: number;
    models: number;
    mean: number;
    median: number;
    percentile99: number;
}

/** Measures the time to choose and reserve a chain while 100 earlier sequences run. */
export function measureDecisionCost(policy: Policy, runners: number, models: number): DecisionCost {
    const fleet = createFleet(runners, models, createSeededRandom(1));
    const random = createSeededRandom(2);
    let now = 0;
    const clock: Clock = {
        getMonotonicTime: () => now,
        getWallTime: () => now,
        setTimer: () => ({ cancel: () => undefined }),
    };
    const chooser = policy.createChooser({
        getConfiguration: () => fleet.configuration,
        getEndpointState: name => fleet.states.get(name),
        clock,
        random,
    }, fleet);
    const running = [];
    const costs: number[] = [];
    for (let index = 0; index < warmupDecisions + measuredDecisions; index++) {
        now += 1;
        const options: ChooseChainOptions = {
            model: `model${index % models}`,
            dataCentre: "a",
            positions: 24,
            excluded: new Set(),
            preferred: new Set(),
        };
        const startedAt = performance.now();
        const chain = chooser.chooseChain(options).unwrap();
        chooser.reserveChain(chain);
        costs.push((performance.now() - startedAt) * 1_000);
        running.push(chain);
        for (const { endpoint, layerStart, layerEnd } of chain.stages) {
            const layers = layerEnd - layerStart;
            const elapsedMilliseconds = 10 + layers * random();
            chooser.observePass({ endpoint, layers, positions: 1, elapsedMilliseconds, queue: 2 });
        }
        const ended = running.length > 100 ? running.shift() : undefined;
        if (ended !== undefined) {
            chooser.releaseChain(ended);
        }
    }
    const measured = costs.slice(warmupDecisions).sort((a, b) => a - b);
    return {
        policy: policy.name,
        runners,
        models,
        mean: measured.reduce((sum, cost) => sum + cost, 0) / measured.length,
        median: measured[Math.floor(measured.length / 2)] ?? 0,
        percentile99: measured[Math.floor(measured.length * 0.99)] ?? 0,
    };
}
