/**
 * Reports from the logs of nodes which requests were not answered in time, by time window, route and reason, and with `--by` also by
 * rank, customer, data centre of the node, data centres that ran them or kind of endpoint.
 *
 * Usage: npm run account -- LOG... [--first 500] [--gap 250] [--window 2] [--by rank --by run-at] [--json FILE] [--svg FILE]
 */
import { readFileSync, writeFileSync } from "node:fs";
import yargs from "yargs";
import { formatTable } from "../src/process/commandLine/formatTable.ts";
import { accountGroups } from "./account/accountGroups.ts";
import { accountRequests } from "./account/accountRequests.ts";
import { drawWindows } from "./account/drawWindows.ts";
import { formatGroups } from "./account/formatGroups.ts";
import { formatMostFrequent } from "./account/formatMostFrequent.ts";
import { Grouping } from "./account/grouping.ts";
import { readRequestEnds } from "./account/readRequestEnds.ts";

const options = yargs(process.argv.slice(2))
    .scriptName("account")
    .option("first", { type: "number", default: 500, describe: "Maximum time to the first event, in milliseconds." })
    .option("gap", { type: "number", default: 250, describe: "Maximum gap between events, in milliseconds." })
    .option("window", { type: "number", default: 2, describe: "Length of a time window, in seconds." })
    .option("by", {
        type: "string",
        array: true,
        nargs: 1,
        choices: Object.values(Grouping),
        default: [],
        describe: "Also count by this, over all and by time window; can be given several times.",
    })
    .option("json", {
        type: "string",
        describe: "Write the time windows to this file as JSON; with --by an object with windows and groups.",
    })
    .option("svg", { type: "string", describe: "Write a chart to this file as SVG." })
    .demandCommand(1, "Specify at least one log file.")
    .strictOptions()
    .parseSync();
const maximumReasons = 12;

const ends = readRequestEnds(readFiles(options._.map(String)), {
    firstMilliseconds: options.first,
    gapMilliseconds: options.gap,
});
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
const groups = new Map(options.by.map(grouping => [grouping, accountGroups(ends, grouping, options.window)]));
for (const [grouping, groupsOfTable] of groups) {
    if (groupsOfTable.length === 0) {
        console.log(`\nThe logs don't tell the ${grouping} of any request.`);
        continue;
    }
    console.log(`\nBy ${grouping}:`);
    printTable(formatGroups(groupsOfTable, grouping));
}
if (options.json !== undefined) {
    const report = groups.size === 0 ? windows : { windows, groups: Object.fromEntries(groups) };
    writeFileSync(options.json, `${JSON.stringify(report, undefined, 4)}\n`);
}
if (options.svg !== undefined) {
    writeFileSync(options.svg, drawWindows(windows));
}

function* readFiles(files: readonly string[]): Generator<string> {
    for (const file of files) {
        yield readFileSync(file, "utf8");
    }
}

function printTable(rows: string[][]): void {
    console.log(formatTable(rows).join("\n"));
}
