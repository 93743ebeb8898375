/**
 * Measures recovery: how long streams stall after a fault of engines, connections or a node, and how long the throughput
 * takes to recover, compared with a plain baseline router in the same run. Engines run in separate processes. Prints one
 * line of JSON per fault and router; times are in milliseconds.
 */
import yargs from "yargs";
import { EngineFleet } from "./recovery/engineFleet.ts";
import { faults } from "./recovery/faults.ts";
import { FoxleadRouter } from "./recovery/foxleadRouter.ts";
import { measureNodeDeath } from "./recovery/measureNodeDeath.ts";
import { PlainRouter } from "./recovery/plainRouter.ts";
import { runTrial, type TrialFigures } from "./recovery/runTrial.ts";
import { summarizeTimes } from "./recovery/summarizeTimes.ts";
import { summarizeTrials } from "./recovery/summarizeTrials.ts";

const options = yargs(process.argv.slice(2))
    .option("seeds", { type: "number", default: 5, description: "Number of trials per fault and router." })
    .option("streams", {
        type: "number",
        default: 24,
        description: "Number of streams in flight when the fault occurs.",
    })
    .option("fault", { type: "string", default: "", description: "Run only faults whose name contains this text." })
    .option("router", {
        type: "string",
        default: "",
        description: "Run only routers whose name contains this text: `foxlead` or `plain`.",
    })
    .strict()
    .parseSync();

const saturatedStreams = 192;
const routers = {
    foxlead: (fleet: EngineFleet, seed: number) => FoxleadRouter.create(fleet, seed),
    plain: (fleet: EngineFleet, seed: number) => PlainRouter.create(fleet, seed),
};

process.chdir(new URL("..", import.meta.url).pathname);
const fleet = await EngineFleet.create();
try {
    const cases = [
        ...faults.map(fault => ({ name: fault.name, fault, streams: options.streams })),
        { name: "no fault", fault: undefined, streams: options.streams },
        { name: `no fault, ${saturatedStreams} streams`, fault: undefined, streams: saturatedStreams },
    ];
    for (const { name, fault, streams } of cases) {
        if (!name.includes(options.fault)) {
            continue;
        }
        for (const [router, createRouter] of Object.entries(routers)) {
            // Trials without a fault measure false alarms, which the baseline can't raise.
            const isInapplicable = fault === undefined && router === "plain";
            if (isInapplicable || !router.includes(options.router)) {
                continue;
            }
            const trials: TrialFigures[] = [];
            for (let seed = 1; seed <= options.seeds; seed += 1) {
                trials.push(await runTrial({ fleet, fault, seed, streams, createRouter }));
            }
            console.log(JSON.stringify({ fault: name, router, ...summarizeTrials(trials) }));
        }
    }
}
finally {
    await fleet.stop();
}
const nodeDeath = "node dies";
if (nodeDeath.includes(options.fault) && options.router !== "plain") {
    const { firstTokens, wholeAnswers, undisturbedAnswers, wrongAnswers } = await measureNodeDeath(
        options.seeds,
        options.streams,
    );
    console.log(JSON.stringify({
        fault: nodeDeath,
        firstToken: summarizeTimes(firstTokens),
        wholeAnswer: summarizeTimes(wholeAnswers),
        undisturbedAnswer: summarizeTimes(undisturbedAnswers),
        wrongAnswers,
    }));
}
