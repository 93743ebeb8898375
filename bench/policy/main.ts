/**
 * Compares the policies for choosing chains on the same seeds: `npm run bench:policy`. `--json` prints the figures as
 * JSON. Writes the plot to docs/design/policy.svg.
 */
import { writeFileSync } from "node:fs";
import { measureDecisionCost } from "./decisionCost.ts";
import { drawPlots } from "./drawPlots.ts";
import { formatTable } from "./formatTable.ts";
import { policies } from "./policies.ts";
import { runScenario, type ScenarioResult } from "./scenario.ts";

const plotFile = new URL("../../docs/design/policy.svg", import.meta.url);
const firstFleet = 1;
const usualLag = 1_000;
/** Fleet and lag of the reports in milliseconds. */
const cells = [[1, 1_000], [1, 200], [1, 5_000], [2, 1_000], [3, 1_000]] as const;
const loads = [0.25, 0.5, 0.75, 0.9];

const saturated = policies.flatMap(policy =>
    cells.filter(cell => isNeeded(policy.name, cell)).map(([fleetSeed, lagMilliseconds]) =>
        runScenario({ policy, fleetSeed, lagMilliseconds })
    )
);
const halfLoad = policies.flatMap(policy =>
    cells.filter(cell => isNeeded(policy.name, cell)).map(([fleetSeed, lagMilliseconds]) =>
        runScenario({ policy, fleetSeed, lagMilliseconds, load: 0.5 })
    )
);
const sweep = policies.flatMap(policy =>
    loads.map(load => runScenario({ policy, fleetSeed: firstFleet, lagMilliseconds: usualLag, load }))
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
                    ...sweep.filter(cell => cell.policy === name).map(cell =>
                        [cell.load ?? 0, cell.partOfBound] as const
                    ),
                    [1.2, saturated.find(cell => isUsualCell(cell, name))?.partOfBound ?? 0] as const,
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
                points: sweep.filter(cell => cell.policy === name)
                    .map(cell => [cell.load ?? 0, cell.betweenTokens[1] ?? 0] as const),
            })),
        },
    ]),
);

if (process.argv.includes("--json")) {
    console.log(JSON.stringify({ saturated, halfLoad, sweep, costs }, undefined, 2));
}
else {
    console.log("At saturation (2,400 requests run at all times):\n");
    console.log(formatScenarios(saturated));
    console.log("\nAt half load:\n");
    console.log(formatScenarios(halfLoad));
    console.log("\nAgainst load (fleet 1, reports 1 s old):\n");
    console.log(formatScenarios(sweep));
    console.log("\nCost of a decision with its reservation:\n");
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

/** Round robin reads no reports, so one lag shows all. */
function isNeeded(policy: string, [, lagMilliseconds]: readonly [number, number]): boolean {
    return policy !== "round robin" || lagMilliseconds === usualLag;
}

function isUsualCell(cell: ScenarioResult, policy: string): boolean {
    return cell.policy === policy && cell.fleetSeed === firstFleet && cell.lagMilliseconds === usualLag;
}

function formatScenarios(results: readonly ScenarioResult[]): string {
    const formatTimes = (times: readonly number[]) => times.map(time => time.toFixed(0)).join(" / ");
    return formatTable(
        ["policy", "fleet", "lag s", "load", "tokens/s", "of bound", "first token ms", "between tokens ms"],
        results.map(cell => [
            cell.policy,
            String(cell.fleetSeed),
            String(cell.lagMilliseconds / 1_000),
            cell.load === undefined ? "full" : String(cell.load),
            cell.tokensPerSecond.toFixed(0),
            cell.partOfBound.toFixed(3),
            formatTimes(cell.firstToken),
            formatTimes(cell.betweenTokens),
        ]),
    );
}
