import { setTimeout as sleep } from "node:timers/promises";
import { LocalDeployment } from "../deployment/localDeployment.ts";
import { checkAnswer } from "./answerCheck.ts";
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
import { PlannedCallers } from "./plannedCallers.ts";
import { runWithCleanup } from "./runWithCleanup.ts";
import { SeededRandom } from "./seededRandom.ts";
import type { SendRecord } from "./sendRecord.ts";
import { soakEngines } from "./soakEngines.ts";
import type { SoakOptions } from "./soakOptions.ts";
import type { SoakResult } from "./soakReport.ts";
import { SteadyLoad } from "./steadyLoad.ts";
import { Violations } from "./violations.ts";

const allKinds = {
    ...engineFaultKinds,
    ...leavingFaultKinds,
    ...documentFaultKinds,
    ...platformFaultKinds,
    ...nodeFaultKinds,
};
const recoveryMilliseconds = 4_000;
const millisecondsPerSecond = 1_000;

/**
 * Runs a soak test of `foxlead node`: a load and seeded faults against real processes, with checks from the outside.
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
    return await runWithCleanup(() => deployment.kill(), async () => {
        await deployment.apply();
        return await soak(options, deployment, timeline, violations);
    });
}

async function soak(
    options: SoakOptions,
    deployment: LocalDeployment,
    timeline: FaultTimeline,
    violations: Violations,
): Promise<SoakResult> {
    const { seed } = options;
    const fleet = NodeFleet.create(deployment, timeline, violations);
    const watch = NodeWatch.create(fleet, timeline, violations);
    const records: SendRecord[] = [];
    const random = SeededRandom.create(seed);
    const callers = PlannedCallers.create({
        deployment,
        fleet,
        random,
        nodeRandom: SeededRandom.create(seed + 1),
        onSent: record => {
            records.push(record);
            checkAnswer(record, timeline, violations);
        },
    });
    const load = SteadyLoad.create({ ...options, random, send: number => callers.send(number) });
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
        ...options,
    });
    const startedAt = Date.now();
    await faults.runWithLoad(load, options.milliseconds);
    const seconds = (Date.now() - startedAt) / millisecondsPerSecond;
    await sleep(recoveryMilliseconds);
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

async function stopAll(fleet: NodeFleet, watch: NodeWatch): Promise<(number | undefined)[]> {
    watch.close();
    fleet.close();
    const nodes = fleet.getLive();
    await Promise.all(nodes.map(node => fleet.stopGracefully(node)));
    return await Promise.all(nodes.map(({ node }) => node.process.exited));
}
