/**
 * Compares policies for choosing chains on the same seeds: `npm run bench:policy`. `--json` prints the figures as
 * JSON. Writes the plot to docs/design/policy.svg.
 */
import { writeFileSync } from "node:fs";
import { measureDecisionCost } from "./decisionCost.ts";
import { drawPlots } from "./drawPlots.ts";
import { formatTable } from "./formatTable.ts";
import { policies } from "./policies.ts";
import { runScenario, type ScenarioResult } from "./scenario.ts";

const plotFile = new URL("../../docs/design/policy.svg", import.meta.url);
const usualFleetSeed = 1;
const usualLagMilliseconds = 1_000;
/** Seed of the fleet, and lag of the load reports in milliseconds. */
const cases = [[1, 1_000], [1, 200], [1, 5_000], [2, 1_000], [3, 1_000]] as const;
const loads = [0.25, 0.5, 0.75, 0.9];

const saturated = policies.flatMap(policy =>
    cases.filter(scenario => isNeeded(policy.name, scenario)).map(([fleetSeed, lagMilliseconds]) =>
        runScenario({ policy, fleetSeed, lagMilliseconds })
    )
);
const halfLoad = policies.flatMap(policy =>
    cases.filter(scenario => isNeeded(policy.name, scenario)).map(([fleetSeed, lagMilliseconds]) =>
        runScenario({ policy, fleetSeed, lagMilliseconds, load: 0.5 })
    )
);
const sweep = policies.flatMap(policy =>
    loads.map(load => runScenario({ policy, fleetSeed: usualFleetSeed, lagMilliseconds: usualLagMilliseconds, load }))
);
const costs = policies.flatMap(policy =>
    ([[30, 1], [300, 4], [1_200, 14]] as const).map(([runners, models]) => measureDecisionCost(policy, runners, models))
);

writeFileSync(
    plotFile,
    drawPlots([
        {
            title: "Throughput over the maximum-flow bound (fleet 1, reports 1 s old)",
            vertical: "part of the bound",
            horizontal: "offered load, part of the bound; the last point is saturation",
            maximumX: 1.2,
            maximumY: 1,
            series: policies.map(({ name }) => ({
                name,
                points: [
                    ...sweep.filter(scenario => scenario.policy === name).map(scenario =>
                        [scenario.load ?? 0, scenario.partOfBound] as const
                    ),
                    [1.2, saturated.find(scenario => isUsualScenario(scenario, name))?.partOfBound ?? 0] as const,
                ],
            })),
        },
        {
            title: "95th percentile of the time between tokens (fleet 1, reports 1 s old)",
            vertical: "ms; cut off at the top",
            horizontal: "offered load, part of the bound",
            maximumX: 1,
            maximumY: 800,
            series: policies.map(({ name }) => ({
                name,
                points: sweep.filter(scenario => scenario.policy === name)
                    .map(scenario => [scenario.load ?? 0, scenario.betweenTokens[1] ?? 0] as const),
            })),
        },
    ]),
);

if (process.argv.includes("--json")) {
    console.log(JSON.stringify({ saturated, halfLoad, sweep, costs }, undefined, 2));
}
else {
    console.log("At saturation (2,400 running requests at all times):\n");
    console.log(formatScenarios(saturated));
    console.log("\nAt half load:\n");
    console.log(formatScenarios(halfLoad));
    console.log("\nBy offered load (fleet 1, reports 1 s old):\n");
    console.log(formatScenarios(sweep));
    console.log("\nTime to choose and reserve a chain:\n");
    console.log(formatTable(
        ["policy", "runners", "models", "mean us", "median us", "99th us"],
        costs.map(cost => [
            cost.policy,
            String(cost.runners),
            String(cost.models),
            ...[cost.mean, cost.median, cost.percentile99].map(value => value.toFixed(1)),
        ]),
    ));
}

/** Round robin doesn't use load reports, so that one lag is enough. */
function isNeeded(policy: string, [, lagMilliseconds]: readonly [number, number]): boolean {
    return policy !== "round robin" || lagMilliseconds === usualLagMilliseconds;
}

function isUsualScenario(scenario: ScenarioResult, policy: string): boolean {
    return scenario.policy === policy && scenario.fleetSeed === usualFleetSeed
        && scenario.lagMilliseconds === usualLagMilliseconds;
}

function formatScenarios(results: readonly ScenarioResult[]): string {
    const formatTimes = (times: readonly number[]) => times.map(time => time.toFixed(0)).join(" / ");
    return formatTable(
        ["policy", "fleet", "lag s", "load", "tokens/s", "of bound", "first token ms", "between tokens ms"],
        results.map(scenario => [
            scenario.policy,
            String(scenario.fleetSeed),
            String(scenario.lagMilliseconds / 1_000),
            scenario.load === undefined ? "full" : String(scenario.load),
            scenario.tokensPerSecond.toFixed(0),
            scenario.partOfBound.toFixed(3),
            formatTimes(scenario.firstToken),
            formatTimes(scenario.betweenTokens),
        ]),
    );
}
