/**
 * Measures the cost of a node of `foxlead platform`: the processor time of its start, of an idle second among its peers
 * and of a streamed request, and its memory. Runs processes of `dist/foxlead` (`npm run build`) with stand-ins on the
 * loopback address.
 *
 * Usage: `npm run bench:router -- [NODES]`, 22 nodes by default.
 */
import { readFileSync } from "node:fs";
import { loadavg } from "node:os";
import { setTimeout as sleep } from "node:timers/promises";
import { Pool } from "undici";
import { RouterDeployment } from "../scripts/soak/router/routerDeployment.ts";
import { callerKey } from "../standins/router/callerKey.ts";

const defaultNodes = 22;
/** Time after the start until its remaining background work has ended. */
const settleMilliseconds = 5_000;
const idleMilliseconds = 15_000;
const loadMilliseconds = 34_000;
/** Low, so that requests run with caches as cold as in a deployment of hundreds of nodes. */
const requestsPerSecondPerNode = 2;
const roundMilliseconds = 100;
/** Time after the last request was sent until all have ended. */
const drainMilliseconds = 3_000;
const millisecondsPerSecond = 1_000;
/** Clock ticks per second, the unit of processor times in `/proc/PID/stat`. */
const ticksPerSecond = 100;
/** Indexes of the user and system times among the fields after the command name in `/proc/PID/stat`. */
const userTimeIndex = 11;
const systemTimeIndex = 12;
const kibibytesPerMebibyte = 1_024;

process.chdir(new URL("..", import.meta.url).pathname);
const nodeCount = Number(process.argv[2] ?? defaultNodes);
const deployment = await RouterDeployment.create({
    nodes: nodeCount,
    isBuilt: true,
    onLine: () => undefined,
    onUnexpectedEnd: name => console.error(`${name} ended unexpectedly; see its output`),
});
try {
    await measure();
}
finally {
    await deployment.close();
}
process.exit();

async function measure(): Promise<void> {
    console.log(
        `${nodeCount} nodes, load average ${loadavg()[0]!.toFixed(1)}; figures are averages over all nodes.`,
    );
    console.log(`start: ${getMeanProcessorTime().toFixed(3)} s of processor time`);
    await sleep(settleMilliseconds);
    const beforeIdle = getMeanProcessorTime();
    await sleep(idleMilliseconds);
    const idle = (getMeanProcessorTime() - beforeIdle) / idleMilliseconds * millisecondsPerSecond;
    console.log(
        `idle: ${(idle * millisecondsPerSecond).toFixed(1)} ms of processor time per second, ${getMeanMemory()} MB`,
    );
    const beforeLoad = getMeanProcessorTime();
    const { sent, succeeded } = await runLoad();
    const used = getMeanProcessorTime() - beforeLoad;
    const idleShare = idle * (loadMilliseconds + drainMilliseconds) / millisecondsPerSecond;
    const perRequest = (used - idleShare) / (sent / nodeCount) * millisecondsPerSecond;
    console.log(
        `streamed request of 20 events: ${
            perRequest.toFixed(1)
        } ms of processor time; ${succeeded} of ${sent} succeeded`,
    );
}

async function runLoad(): Promise<{ sent: number; succeeded: number; }> {
    const pools = deployment.nodes.map(({ ports }) =>
        new Pool(`http://127.0.0.1:${ports.callers}`, { connections: 20 })
    );
    const counts = { sent: 0, succeeded: 0 };
    for (const end = Date.now() + loadMilliseconds; Date.now() < end;) {
        for (const pool of pools) {
            if (Math.random() < requestsPerSecondPerNode * roundMilliseconds / millisecondsPerSecond) {
                counts.sent += 1;
                void send(pool, counts.sent).then(isServed => counts.succeeded += Number(isServed));
            }
        }
        await sleep(roundMilliseconds);
    }
    await sleep(drainMilliseconds);
    await Promise.all(pools.map(pool => pool.destroy()));
    return counts;
}

async function send(pool: Pool, number: number): Promise<boolean> {
    const headers = {
        host: "one.example",
        "request-id": `request-${number}`,
        "request-deadline-ms": "20000",
        "token-counts": "700,60",
        authorization: `Bearer ${callerKey}`,
    };
    try {
        const answer = await pool.request({ method: "POST", path: `/model/${number}`, headers, body: String(number) });
        await answer.body.text();
        return answer.statusCode === 200;
    }
    catch (error) {
        console.error(`Request ${number} failed: ${String(error)}`);
        return false;
    }
}

/** Gets the processor time that the nodes have used so far, in seconds, averaged over the nodes. */
function getMeanProcessorTime(): number {
    return getMean(processId => {
        const fields = readFileSync(`/proc/${processId}/stat`, "utf8").split(") ")[1]!.split(" ");
        return (Number(fields[userTimeIndex]) + Number(fields[systemTimeIndex])) / ticksPerSecond;
    });
}

/** Gets the resident memory of the nodes, averaged over the nodes. */
function getMeanMemory(): number {
    return Math.round(getMean(processId => {
        const status = readFileSync(`/proc/${processId}/status`, "utf8");
        return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]) / kibibytesPerMebibyte;
    }));
}

function getMean(read: (processId: number) => number): number {
    let sum = 0;
    for (const node of deployment.nodes) {
        sum += read(node.process.getProcessId());
    }
    return sum / deployment.nodes.length;
}
