import { systemClock } from "../../src/process/systemClock.ts";
import { EstimatedTimeChooser } from "../../src/request/chain/estimatedTimeChooser.ts";
import { createSeededRandom } from "../../tests/support/createSeededRandom.ts";
import { measureDecisionCost } from "../policy/decisionCost.ts";
import { createFleet } from "../policy/fleet.ts";
import { policies } from "../policy/policies.ts";
import { designSize } from "./designSize.ts";
import { fitSlope } from "./fitSlope.ts";
import { measureProcessorTime } from "./measureProcessorTime.ts";
import type { Slope } from "./slope.ts";

const { nodes, models, runners: allRunners } = designSize;
const role = "chain choice";
const sizes = [[30, 1], [300, 4], [1_200, 14]] as const;
const repetitions = 3;
/** Decisions per call of {@link measureDecisionCost}, including its warm-up. */
const decisions = 6_000;

/** Measures the choice of a chain, including its reservation, the observation of its passes and its release. */
export async function measureChains(): Promise<Slope[]> {
    const policy = policies.at(-1)!;
    const processor = [];
    const median = [];
    for (const [runners, models] of sizes) {
        const costs: number[] = [];
        const spent = await measureProcessorTime(
            () => costs.push(measureDecisionCost(policy, runners, models).median),
            repetitions,
        );
        processor.push({ x: runners, y: spent / decisions });
        median.push({ x: runners, y: Math.min(...costs) });
    }
    const variable = "runner";
    return [
        fitSlope(
            { id: "chains.processor", role, quantity: "decision, with its passes observed", unit: "us", variable },
            processor,
        ),
        fitSlope({ id: "chains.median", role, quantity: "decision, median wall time", unit: "us", variable }, median),
        await measureBound(),
    ];
}

/** Measures the computation of the fleet's throughput bound, in positions per second. */
async function measureBound(): Promise<Slope> {
    const points = [];
    for (const count of [allRunners / 4, allRunners / 2, allRunners]) {
        const random = createSeededRandom(1);
        const { configuration, states } = createFleet(count, models, random);
        const chooser = EstimatedTimeChooser.create({
            getConfiguration: () => configuration,
            getEndpointState: name => states.get(name),
            clock: systemClock,
            random,
        });
        const dataCentres = Object.keys(configuration.dataCentres);
        const nodeDataCentres = Array.from({ length: nodes }, (_, index) => dataCentres[index % dataCentres.length]!);
        const compute = () => chooser.computeFlowBound(nodeDataCentres);
        compute();
        points.push({ x: count, y: await measureProcessorTime(compute, repetitions) / 1_000 });
    }
    const description = { id: "chains.bound", role, quantity: "bound of the fleet", unit: "ms" };
    return fitSlope({ ...description, variable: "runner" }, points);
}
