/**
 * Soak test with fault injection: runs real processes under a steady load, injects seeded faults and checks the invariants
 * from the outside. Prints a report and exits with 1 if an invariant was violated.
 *
 * Usage: npm run soak -- [--program node|platform] [--seed N] [--minutes M] [--requests R] [--faults F]
 *     [--kinds KIND,KIND] [--nodes N] [--rate R] [--built]
 */
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { printRouterSoakReport } from "./soak/router/routerSoakReport.ts";
import { runRouterSoak } from "./soak/router/runRouterSoak.ts";
import { runSoak } from "./soak/runSoak.ts";
import { printSoakReport } from "./soak/soakReport.ts";

const millisecondsPerMinute = 60_000;

process.chdir(new URL("..", import.meta.url).pathname);
const parsed = yargs(hideBin(process.argv))
    .option("program", {
        choices: ["node", "platform"] as const,
        default: "node" as const,
        describe: "The foxlead command to run the nodes with.",
    })
    .option("seed", { type: "number", default: Date.now() % 1_000_000, describe: "Seed of the load and the faults." })
    .option("minutes", { type: "number", default: 2, describe: "Maximum duration of the load, in minutes." })
    .option("requests", { type: "number", describe: "Maximum number of requests. Default: unlimited." })
    .option("faults", { type: "number", describe: "Maximum number of faults. Default: unlimited." })
    .option("kinds", { type: "string", describe: "Comma-separated kinds of faults to choose from. Default: all." })
    .option("nodes", { type: "number", default: 4, describe: "Nodes." })
    .option("rate", { type: "number", default: 25, describe: "Requests per second." })
    .option("built", { type: "boolean", default: false, describe: "Run the built executable instead of the sources." })
    .strict()
    .parseSync();

const startedAt = Date.now();
const print = (line: string) => {
    const seconds = ((Date.now() - startedAt) / 1_000).toFixed(1);
    console.log(`${seconds.padStart(6)} ${line}`);
};
print(`Soak with seed ${parsed.seed}.`);
const options = {
    seed: parsed.seed,
    milliseconds: parsed.minutes * millisecondsPerMinute,
    maximumRequests: parsed.requests,
    maximumFaults: parsed.faults,
    isBuilt: parsed.built,
    nodes: parsed.nodes,
    requestsPerSecond: parsed.rate,
    kinds: parsed.kinds?.split(","),
    print,
};
if (parsed.program === "platform") {
    const result = await runRouterSoak(options);
    printRouterSoakReport(result, line => console.log(line));
    process.exitCode = result.violations.length === 0 ? 0 : 1;
}
else {
    const result = await runSoak(options);
    printSoakReport(result, line => console.log(line));
    process.exitCode = result.violations.length === 0 ? 0 : 1;
}
