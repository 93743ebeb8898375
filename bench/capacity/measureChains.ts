import { measureDecisionCost } from "../policy/decisionCost.ts";
import { policies } from "../policy/policies.ts";
import { fitSlope } from "./fitSlope.ts";
import { measureProcessor } from "./measureProcessor.ts";
import type { Slope } from "./slope.ts";

const role = "chain choice";
const sizes = [[30, 1], [300, 4], [1_200, 14]] as const;
/** Decisions of one call of bench/policy/decisionCost.ts, those of its warm-up included. */
const repetitions = 3;
const decisions = 6_000;

/** Measures the choice of a chain with its reservation, the observation of its passes and its release. */
export async function measureChains(): Promise<Slope[]> {
    const policy = policies.at(-1)!;
    const processor = [];
    const median = [];
    for (const [runners, models] of sizes) {
        const costs: number[] = [];
        const spent = await measureProcessor(
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
    ];
}
