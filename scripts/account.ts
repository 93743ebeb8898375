/**
 * Reports from the logs of nodes which requests were not answered in time, by time window, route and reason.
 *
 * Usage: npm run account -- LOG... [--first 500] [--gap 250] [--window 2] [--json FILE] [--svg FILE]
 */
import { readFileSync, writeFileSync } from "node:fs";
import yargs from "yargs";
import { formatTable } from "../src/process/commandLine/formatTable.ts";
import { accountRequests } from "./account/accountRequests.ts";
import type { AccountWindow } from "./account/accountWindow.ts";
import { drawWindows } from "./account/drawWindows.ts";
import { parseRequestEnd } from "./account/parseRequestEnd.ts";
import type { RequestEnd } from "./account/requestEnd.ts";

const options = yargs(process.argv.slice(2))
    .scriptName("account")
    .option("first", { type: "number", default: 500, describe: "Maximum time to the first event, in milliseconds." })
    .option("gap", { type: "number", default: 250, describe: "Maximum gap between events, in milliseconds." })
    .option("window", { type: "number", default: 2, describe: "Length of a time window, in seconds." })
    .option("json", { type: "string", describe: "Write the report to this file as JSON." })
    .option("svg", { type: "string", describe: "Write a chart to this file as SVG." })
    .demandCommand(1, "Specify at least one log file.")
    .strictOptions()
    .parseSync();
const maximumReasons = 12;

const ends = options._.flatMap(file => readEnds(String(file)));
const windows = accountRequests(ends, options.window);
printTable([
    ["from second", "asked", "in time", "most frequent reason"],
    ...windows.map((
        { from, asked, inTime, lost },
    ) => [String(from), String(asked), String(inTime), formatMostFrequent(lost)]),
]);
const [total] = accountRequests(ends, Infinity);
console.log(`\n${total?.inTime ?? 0} of ${total?.asked ?? 0} in time; the others by reason:`);
printTable(total?.lost.slice(0, maximumReasons).map(([reason, count]) => [String(count), reason]) ?? []);
console.log("\nBy route:");
printTable([...Map.groupBy(ends, ({ route }) => route)].map(([route, endsOfRoute]) => {
    const [all] = accountRequests(endsOfRoute, Infinity);
    return [route, `${all!.inTime} of ${all!.asked} in time`, formatMostFrequent(all!.lost)];
}));
if (options.json !== undefined) {
    writeFileSync(options.json, `${JSON.stringify(windows, undefined, 4)}\n`);
}
if (options.svg !== undefined) {
    writeFileSync(options.svg, drawWindows(windows));
}

function readEnds(file: string): RequestEnd[] {
    const objectives = { firstMilliseconds: options.first, gapMilliseconds: options.gap };
    return readFileSync(file, "utf8").split("\n").map(line => parseRequestEnd(line, objectives)).filter(end =>
        end !== undefined
    );
}

function formatMostFrequent([most]: AccountWindow["lost"]): string {
    return most === undefined ? "" : `${most[1]} ${most[0]}`;
}

function printTable(rows: string[][]): void {
    console.log(formatTable(rows).join("\n"));
}
