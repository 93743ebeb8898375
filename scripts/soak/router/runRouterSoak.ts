import { readFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { FaultLoop } from "../faultLoop.ts";
import { FaultTimeline } from "../faultTimeline.ts";
import { checkLine } from "../lineCheck.ts";
import { LogTail } from "../logTail.ts";
import { runWithCleanup } from "../runWithCleanup.ts";
import { SeededRandom } from "../seededRandom.ts";
import type { SoakOptions } from "../soakOptions.ts";
import { SteadyLoad } from "../steadyLoad.ts";
import { Violations } from "../violations.ts";
import { CallChecks } from "./callChecks.ts";
import { RouterCallers } from "./routerCallers.ts";
import { RouterDeployment } from "./routerDeployment.ts";
import { routerFaultKinds } from "./routerFaultKinds.ts";
import type { RouterSoakResult } from "./routerSoakReport.ts";

/** Time after the last fault within which the system must recover. */
const recoveryMilliseconds = 6_000;
const recoveryRequests = 60;
/** Prefix of the ids of the requests after recovery. */
const recoveryIdPrefix = "last";
/** Maximum of failed requests that are described. */
const maximumShown = 5;
const millisecondsPerSecond = 1_000;
/** Peak memory above which the platform would kill a node on its smallest VMs. */
const maximumMemoryKilobytes = 250_000;

/** The parts that the steps of a soak test share. */
interface SoakParts {
    deployment: RouterDeployment;
    timeline: FaultTimeline;
    violations: Violations;
    checks: CallChecks;
}

/**
 * Runs a soak test of `foxlead platform`: a load and seeded faults against real processes, with checks from the outside.
 */
export async function runRouterSoak(options: SoakOptions): Promise<RouterSoakResult> {
    const log = LogTail.create();
    const timeline = FaultTimeline.create();
    const violations = Violations.create(timeline, log, options.print);
    const deployment = await RouterDeployment.create({
        nodes: options.nodes,
        isBuilt: options.isBuilt,
        onLine: (name, line) => {
            log.add(name, line);
            checkLine(name, line, violations);
        },
        onUnexpectedEnd: (name, code) =>
            violations.addNow("ended", `${name} exited unexpectedly with ${code}.`, [name]),
    });
    const checks = CallChecks.create({ deployment, timeline, violations });
    return await runWithCleanup(
        () => deployment.close(),
        () => soak(options, { deployment, timeline, violations, checks }),
    );
}

async function soak(options: SoakOptions, parts: SoakParts): Promise<RouterSoakResult> {
    const { deployment, timeline, violations, checks } = parts;
    const startedAt = Date.now();
    const random = SeededRandom.create(options.seed);
    const callers = RouterCallers.create({
        deployment,
        random,
        randomBehind: SeededRandom.create(options.seed + 2),
        onEnded: record => checks.checkAnswer(record),
    });
    const faults = FaultLoop.create({
        context: { deployment, timeline, callers, violations, random: SeededRandom.create(options.seed + 1) },
        allKinds: routerFaultKinds,
        ...options,
    });
    const load = SteadyLoad.create({ ...options, random, send: number => callers.send(`call-${number}`) });
    await faults.runWithLoad(load, options.milliseconds);
    await sleep(recoveryMilliseconds);
    const recoveryLoad = SteadyLoad.create({
        ...options,
        random,
        maximumRequests: recoveryRequests,
        send: number => callers.sendWithoutDisconnect(`${recoveryIdPrefix}-${number}`),
    });
    await recoveryLoad.run();
    checkRecovery(parts);
    await checkConfiguration(parts);
    checkMemory(parts);
    await Promise.all(deployment.nodes.map(node => deployment.terminate(node)));
    await callers.close();
    const promptSeries = checks.checkRuns();
    checkExits(parts);
    return {
        seed: options.seed,
        seconds: (Date.now() - startedAt) / millisecondsPerSecond,
        outcomes: checks.getCounts(),
        timeline,
        promptSeries,
        violations: violations.getAll(),
    };
}

/** Checks that all requests after recovery succeeded. */
function checkRecovery({ checks, violations }: SoakParts): void {
    const failed = checks.listFailed(recoveryIdPrefix);
    if (failed.length > 0) {
        const shown = failed.slice(0, maximumShown).join("; ");
        violations.addNow("notRecovered", `${failed.length} requests failed after the last fault: ${shown}`);
    }
}

/** Checks that the newest configuration is in force on all nodes. */
async function checkConfiguration({ deployment, violations }: SoakParts): Promise<void> {
    for (const node of deployment.nodes) {
        const version = await deployment.getVersionInForce(node);
        if (version !== deployment.getVersion()) {
            const expected = deployment.getVersion();
            violations.addNow("outdated", `${node.name} has version ${version} in force, not ${expected}.`, [
                node.name,
            ]);
        }
    }
}

/** Checks the peak memory of each node's process. */
function checkMemory({ deployment, violations }: SoakParts): void {
    for (const { name, process } of deployment.nodes) {
        const status = readFileSync(`/proc/${process.getProcessId()}/status`, "utf8");
        const kilobytes = Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]);
        if (kilobytes > maximumMemoryKilobytes) {
            violations.addNow("memory", `${name} reached a peak of ${kilobytes} kB.`);
        }
    }
}

/** Checks that each planned stop ended the process in time with exit code 0. */
function checkExits({ deployment, violations }: SoakParts): void {
    for (const { name, exitCodes } of deployment.nodes) {
        if (exitCodes.some(code => code !== 0)) {
            violations.addNow("exit", `${name} exited after SIGTERM with ${exitCodes.join(", ")}.`, [name]);
        }
    }
}
