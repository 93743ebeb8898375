import { readFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { FaultLoop } from "../faultLoop.ts";
import { FaultTimeline } from "../faultTimeline.ts";
import { LogTail } from "../logTail.ts";
import { SeededRandom } from "../seededRandom.ts";
import type { SoakOptions } from "../soakOptions.ts";
import { Violations } from "../violations.ts";
import { CallChecks } from "./callChecks.ts";
import { CallerLoad } from "./callerLoad.ts";
import { RouterDeployment } from "./routerDeployment.ts";
import { routerFaultKinds } from "./routerFaultKinds.ts";
import type { RouterSoakResult } from "./routerSoakReport.ts";

/** After the last fault, everything is served again within this time. */
const recoveryMilliseconds = 6_000;
const recoveryRequests = 60;
const millisecondsPerSecond = 1_000;
/** A node that outgrows this would be ended by the platform on its smallest machines, in kilobytes. */
const memoryKilobytes = 250_000;

/** What a part of a soak works with. */
interface SoakParts {
    deployment: RouterDeployment;
    timeline: FaultTimeline;
    violations: Violations;
    checks: CallChecks;
}

/**
 * Runs load and seeded faults against real processes of `foxlead platform` and checks the promises from outside.
 * @param options - Seed, length and what to run.
 */
export async function runRouterSoak(options: SoakOptions): Promise<RouterSoakResult> {
    const log = LogTail.create();
    const timeline = FaultTimeline.create();
    const violations = Violations.create(timeline, log, options.print);
    const deployment = await RouterDeployment.create({
        nodes: options.nodes,
        isBuilt: options.isBuilt,
        onLine: (name, line) => log.add(name, line),
        onUnexpectedEnd: (name, code) => {
            const now = Date.now();
            violations.add({
                kind: "ended",
                message: `${name} ended by itself with ${code}.`,
                from: now,
                to: now,
                names: [name],
            });
        },
    });
    const onInterrupted = () => void deployment.close().finally(() => process.exit(130));
    process.once("SIGINT", onInterrupted);
    const checks = CallChecks.create({ deployment, timeline, violations });
    try {
        return await soak(options, { deployment, timeline, violations, checks });
    }
    finally {
        process.off("SIGINT", onInterrupted);
        await deployment.close();
    }
}

async function soak(options: SoakOptions, parts: SoakParts): Promise<RouterSoakResult> {
    const { deployment, timeline, violations, checks } = parts;
    const startedAt = Date.now();
    const faults = FaultLoop.create({
        context: { deployment, timeline, random: SeededRandom.create(options.seed + 1) },
        allKinds: routerFaultKinds,
        maximumFaults: options.maximumFaults ?? Infinity,
        kinds: options.kinds,
        print: options.print,
    });
    const load = CallerLoad.create({
        name: "call",
        deployment,
        random: SeededRandom.create(options.seed),
        requestsPerSecond: options.requestsPerSecond,
        maximumRequests: options.maximumRequests ?? Infinity,
        onEnded: record => checks.checkAnswer(record),
    });
    const timer = setTimeout(() => load.stop(), options.milliseconds);
    await Promise.all([load.run().finally(() => faults.stop()), faults.run()]);
    clearTimeout(timer);
    await sleep(recoveryMilliseconds);
    await checkRecovery(options, parts);
    checkMemory(parts);
    await Promise.all(deployment.nodes.map(node => deployment.terminate(node)));
    await load.close();
    checks.checkRuns();
    checkExits(parts);
    return {
        seed: options.seed,
        seconds: (Date.now() - startedAt) / millisecondsPerSecond,
        outcomes: checks.getCounts(),
        timeline,
        violations: violations.getAll(),
    };
}

/** Checks that after the last fault every request is served. */
async function checkRecovery(options: SoakOptions, parts: SoakParts): Promise<void> {
    const { deployment, violations, checks } = parts;
    const from = Date.now();
    const failed: string[] = [];
    const load = CallerLoad.create({
        name: "last",
        deployment,
        random: SeededRandom.create(options.seed),
        requestsPerSecond: options.requestsPerSecond,
        maximumRequests: recoveryRequests,
        onEnded: record => {
            checks.checkAnswer(record);
            if (record.status !== 200 || !record.isComplete) {
                failed.push(`${record.id} at ${record.node}: ${record.status} ${record.reason}`);
            }
        },
    });
    await load.run();
    await load.close();
    if (failed.length > 0) {
        const message = `${failed.length} requests failed after the last fault: ${failed.slice(0, 5).join("; ")}`;
        violations.add({ kind: "notRecovered", message, from, to: Date.now() });
    }
}

/** Checks the most memory that each node's process has held. */
function checkMemory({ deployment, violations }: SoakParts): void {
    for (const { name, process } of deployment.nodes) {
        const status = readFileSync(`/proc/${process.getProcessId()}/status`, "utf8");
        const kilobytes = Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]);
        if (kilobytes > memoryKilobytes) {
            const now = Date.now();
            violations.add({ kind: "memory", message: `${name} has held ${kilobytes} kB.`, from: now, to: now });
        }
    }
}

/** Checks that each planned stop ended the process in time and with success. */
function checkExits({ deployment, violations }: SoakParts): void {
    for (const { name, exitCodes } of deployment.nodes) {
        if (exitCodes.some(code => code !== 0)) {
            const now = Date.now();
            const message = `${name} ended after SIGTERM with ${exitCodes.join(", ")}.`;
            violations.add({ kind: "exit", message, from: now, to: now, names: [name] });
        }
    }
}
