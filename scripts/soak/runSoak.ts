import { setTimeout as sleep } from "node:timers/promises";
import { LocalDeployment } from "../deployment/localDeployment.ts";
import { checkAnswer } from "./answerCheck.ts";
import type { FaultContext } from "./faultContext.ts";
import { FaultLoop } from "./faultLoop.ts";
import { documentFaultKinds } from "./faults/documentFaultKinds.ts";
import { engineFaultKinds } from "./faults/engineFaultKinds.ts";
import { leavingFaultKinds } from "./faults/leavingFaultKinds.ts";
import { nodeFaultKinds } from "./faults/nodeFaultKinds.ts";
import { platformFaultKinds } from "./faults/platformFaultKinds.ts";
import { FaultTimeline } from "./faultTimeline.ts";
import { checkKeys } from "./keyCheck.ts";
import { checkLine } from "./lineCheck.ts";
import { LogTail } from "./logTail.ts";
import { NodeFleet } from "./nodeFleet.ts";
import { NodeWatch } from "./nodeWatch.ts";
import { RequestLoad } from "./requestLoad.ts";
import { SeededRandom } from "./seededRandom.ts";
import type { SendRecord } from "./sendRecord.ts";
import { soakEngines } from "./soakEngines.ts";
import type { SoakOptions } from "./soakOptions.ts";
import type { SoakResult } from "./soakReport.ts";
import { Violations } from "./violations.ts";

const allKinds = {
    ...engineFaultKinds,
    ...leavingFaultKinds,
    ...documentFaultKinds,
    ...platformFaultKinds,
    ...nodeFaultKinds,
};
const quietEndMilliseconds = 4_000;
const millisecondsPerSecond = 1_000;

/**
 * Runs load and seeded faults against real processes and checks the promises from outside.
 * @param options - Seed, length and what to run.
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
    const log = LogTail.create();
    const timeline = FaultTimeline.create();
    const violations = Violations.create(timeline, log, options.print);
    const deployment = await LocalDeployment.create({
        nodes: options.nodes,
        engines: soakEngines,
        isBuilt: options.isBuilt,
        onLine: (name, line) => {
            log.add(name, line);
            checkLine(name, line, violations);
        },
    });
    const onInterrupted = () => void deployment.kill().finally(() => process.exit(130));
    process.once("SIGINT", onInterrupted);
    try {
        await deployment.apply();
        return await soak(options, deployment, timeline, violations);
    }
    finally {
        process.off("SIGINT", onInterrupted);
        await deployment.kill();
    }
}

async function soak(
    options: SoakOptions,
    deployment: LocalDeployment,
    timeline: FaultTimeline,
    violations: Violations,
): Promise<SoakResult> {
    const { seed, print } = options;
    const fleet = NodeFleet.create(deployment, timeline, violations);
    const watch = NodeWatch.create(fleet, timeline, violations);
    const records: SendRecord[] = [];
    const load = RequestLoad.create({
        deployment,
        fleet,
        random: SeededRandom.create(seed),
        nodeRandom: SeededRandom.create(seed + 1),
        requestsPerSecond: options.requestsPerSecond,
        maximumRequests: options.maximumRequests ?? Infinity,
        onSent: record => {
            records.push(record);
            checkAnswer(record, timeline, violations);
        },
    });
    const leavingChecks = { checked: 0, skipped: 0 };
    const faults = FaultLoop.create({
        context: {
            deployment,
            fleet,
            watch,
            timeline,
            violations,
            random: SeededRandom.create(seed + 2),
            taken: new Set<string>(),
            leavingChecks,
        },
        allKinds,
        maximumFaults: options.maximumFaults ?? Infinity,
        kinds: options.kinds,
        print,
    });
    const startedAt = Date.now();
    await runUntilDone(options, load, faults);
    const seconds = (Date.now() - startedAt) / millisecondsPerSecond;
    await sleep(quietEndMilliseconds);
    watch.checkEnd();
    const exitCodes = await stopAll(fleet, watch);
    const keys = await checkKeys(deployment, records, violations);
    return {
        seed,
        seconds,
        requests: load.getCount(),
        records,
        timeline,
        keys,
        versions: watch.getCounts(),
        leavingChecks,
        exitCodes,
        violations: violations.getAll(),
    };
}

/** Ends the load when its time is over or all faults are shown; the faults end with the load. */
async function runUntilDone(options: SoakOptions, load: RequestLoad, faults: FaultLoop<FaultContext>): Promise<void> {
    const timer = setTimeout(() => load.stop(), options.milliseconds);
    const running = load.run().finally(() => faults.stop());
    await Promise.all([running, faults.run()]);
    clearTimeout(timer);
}

async function stopAll(fleet: NodeFleet, watch: NodeWatch): Promise<(number | undefined)[]> {
    watch.close();
    fleet.close();
    const nodes = fleet.getLive();
    await Promise.all(nodes.map(node => fleet.stopGracefully(node)));
    return await Promise.all(nodes.map(({ node }) => node.process.exited));
}
