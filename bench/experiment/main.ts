/**
 * Simulates loads on a deployment in virtual time, with the routing code of production.
 *
 * Usage: npm run experiment -- FILE... [--seeds N] [--without MECHANISM,...] [--windows] [--svg FILE] [--json FILE]
 */
import { writeFileSync } from "node:fs";
import yargs from "yargs";
import { getQuantile } from "../admission/getQuantile.ts";
import { drawPlots } from "../policy/drawPlots.ts";
import { formatTable } from "../policy/formatTable.ts";
import { Experiment } from "./experiment.ts";
import type { ExperimentResult, RankResult } from "./experimentResult.ts";
import { Mechanism } from "./mechanism.ts";
import { readExperiment } from "./readExperiment.ts";
import { type RunSummary, summarizeRuns } from "./summarizeRuns.ts";

const mechanisms = Object.values(Mechanism);
const options = yargs(process.argv.slice(2))
    .usage("$0 FILE... [options]")
    .option("seeds", { type: "number", default: 3, describe: "Number of seeds to run." })
    .option("without", { type: "string", default: "", describe: `Mechanisms to disable: ${mechanisms.join(", ")}.` })
    .option("windows", { type: "boolean", default: false, describe: "Print the figures of each time window." })
    .option("svg", { type: "string", describe: "Write a plot of the last experiment to this file." })
    .option("json", { type: "string", describe: "Write the result of each run to this file as a line of JSON." })
    .demandCommand(1, "Name at least one experiment file, such as bench/experiment/loads/overload-2x.jsonc.")
    .strict()
    .parseSync();

const without = new Set(mechanisms.filter(mechanism => options.without.split(",").includes(mechanism)));
const rows: string[][] = [];
const lines: string[] = [];
for (const path of options._.map(String)) {
    const settings = readExperiment(path);
    if (settings.err) {
        console.error(settings.val);
        process.exitCode = 2;
        continue;
    }
    const startedAt = performance.now();
    const results = Array.from(
        { length: options.seeds },
        (_, index) => Experiment.run({ settings: settings.val, seed: index + 1, without }),
    );
    const summary = summarizeRuns(results);
    lines.push(...results.map(result => JSON.stringify({ path, without: [...without], ...result })));
    rows.push(createRow(path, summary, (performance.now() - startedAt) / options.seeds));
    if (settings.val.routes.length > 0) {
        console.log(formatRanks(results));
    }
    if (options.windows) {
        console.log(formatWindows(summary));
    }
    if (options.svg !== undefined) {
        writeFileSync(options.svg, drawSummary(summary, options.seeds));
    }
}
console.log(formatTable(
    [
        "load",
        "goodput",
        "least",
        "most",
        "worst/best",
        "refused",
        "preempted",
        "returns served",
        "shortfall",
        "ms a run",
    ],
    rows,
));
if (options.json !== undefined) {
    writeFileSync(options.json, `${lines.join("\n")}\n`);
}

function createRow(path: string, summary: RunSummary, milliseconds: number): string[] {
    const { goodput, worstOfBest, refusedPart, preemptedPart, servedReturnPart, customerShortfall } = summary;
    const parts = [goodput.median, goodput.least, goodput.most, worstOfBest, refusedPart, preemptedPart];
    const name = path.replace(/^.*\//, "").replace(/\.jsonc$/, "");
    return [
        name,
        ...[...parts, servedReturnPart, customerShortfall].map(part => part.toFixed(3)),
        milliseconds.toFixed(0),
    ];
}

function formatRanks(results: readonly ExperimentResult[]): string {
    const rankRows = results[0]!.ranks.map(({ rank }, index) => {
        const sum = (getCount: (ranks: RankResult) => number) =>
            results.reduce((total, { ranks }) => total + getCount(ranks[index]!), 0);
        const asked = sum(result => result.asked);
        return [
            String(rank),
            String(asked),
            (sum(result => result.worthShare * result.asked) / asked).toFixed(3),
            ...[
                sum(result => result.inAim),
                sum(result => result.late),
                sum(result => result.refused),
                sum(result => result.failed),
            ].map(String),
        ];
    });
    return formatTable(["rank", "asked", "worth", "in aim", "late", "refused", "failed"], rankRows);
}

function formatWindows({ windows }: RunSummary): string {
    return formatTable(
        ["from", "asked", "in aim", "late", "refused", "failed", "first p50", "first p99"],
        windows.map(({ from, asked, inAim, late, refused, failed, firstEvents }) => [
            ...[from, asked, inAim, late, refused, failed].map(String),
            getQuantile(firstEvents, 0.5).toFixed(0),
            getQuantile(firstEvents, 0.99).toFixed(0),
        ]),
    );
}

function drawSummary({ windows }: RunSummary, seeds: number): string {
    const getSeries = (name: "asked" | "inAim" | "late" | "refused") => ({
        name,
        points: windows.map(window => [window.from, window[name] / seeds] as const),
    });
    const getTimes = (name: string, quantile: number) => ({
        name,
        points: windows.map(({ from, firstEvents }) => [from, getQuantile(firstEvents, quantile)] as const),
    });
    const maximumX = windows.at(-1)!.from;
    return drawPlots([
        {
            title: "Requests per two-second window",
            horizontal: "seconds",
            vertical: "requests",
            maximumX,
            maximumY: Math.max(...windows.map(({ asked }) => asked / seeds)),
            series: [getSeries("asked"), getSeries("inAim"), getSeries("late"), getSeries("refused")],
        },
        {
            title: "Time to first event, by the time of the first attempt",
            horizontal: "seconds",
            vertical: "milliseconds",
            maximumX,
            maximumY: 1_000,
            series: [getTimes("median", 0.5), getTimes("90th percentile", 0.9)],
        },
    ]);
}
