/**
 * Measures what a node of `foxlead platform` costs by itself: processor time of its start, of a calm second among its peers,
 * and of a streamed request, and its memory. Real processes over stand-ins on the loopback address, from `dist/foxlead`
 * (`npm run build`). Usage: `npm run bench:router -- [NODES]`, 22 by default.
 */
import { readFileSync } from "node:fs";
import { loadavg } from "node:os";
import { setTimeout as sleep } from "node:timers/promises";
import { Pool } from "undici";
import { RouterDeployment } from "../scripts/soak/router/routerDeployment.ts";
import { callerKey } from "../standins/router/callerKey.ts";

const defaultNodes = 22;
/** Until what a start leaves behind has settled. */
const settleMilliseconds = 5_000;
const calmMilliseconds = 15_000;
const loadMilliseconds = 34_000;
/** Each node gets so few requests that they run as cold as on a day of hundreds of nodes. */
const requestsPerSecondAndNode = 2;
const roundMilliseconds = 100;
/** After the last request, until all have ended. */
const restMilliseconds = 3_000;
const millisecondsPerSecond = 1_000;
/** Clock ticks a second in which the system counts processor time. */
const ticksPerSecond = 100;
const userTimeField = 11;
const systemTimeField = 12;
const kilobytesPerMegabyte = 1_024;

process.chdir(new URL("..", import.meta.url).pathname);
const nodeCount = Number(process.argv[2] ?? defaultNodes);
const deployment = await RouterDeployment.create({
    nodes: nodeCount,
    isBuilt: true,
    onLine: () => undefined,
    onUnexpectedEnd: name => console.error(`${name} has ended by itself. Read its output.`),
});
try {
    await measure();
}
finally {
    await deployment.close();
}
process.exit();

async function measure(): Promise<void> {
    console.log(`${nodeCount} nodes, load of the machine ${loadavg()[0]!.toFixed(1)}; means of all nodes.`);
    console.log(`start: ${getMeanProcessorTime().toFixed(3)} s of processor`);
    await sleep(settleMilliseconds);
    const settled = getMeanProcessorTime();
    await sleep(calmMilliseconds);
    const calm = (getMeanProcessorTime() - settled) / calmMilliseconds * millisecondsPerSecond;
    console.log(`calm: ${(calm * millisecondsPerSecond).toFixed(1)} ms of processor a second, ${getMeanMemory()} MB`);
    const before = getMeanProcessorTime();
    const { sent, succeeded } = await load();
    const used = getMeanProcessorTime() - before;
    const ofCalm = calm * (loadMilliseconds + restMilliseconds) / millisecondsPerSecond;
    const each = (used - ofCalm) / (sent / nodeCount) * millisecondsPerSecond;
    console.log(
        `streamed request of 20 events: ${each.toFixed(1)} ms of processor; ${succeeded} of ${sent} were served`,
    );
}

async function load(): Promise<{ sent: number; succeeded: number; }> {
    const pools = deployment.nodes.map(({ ports }) =>
        new Pool(`http://127.0.0.1:${ports.callers}`, { connections: 20 })
    );
    const counts = { sent: 0, succeeded: 0 };
    for (const end = Date.now() + loadMilliseconds; Date.now() < end;) {
        for (const pool of pools) {
            if (Math.random() < requestsPerSecondAndNode * roundMilliseconds / millisecondsPerSecond) {
                counts.sent += 1;
                void send(pool, counts.sent).then(isServed => counts.succeeded += Number(isServed));
            }
        }
        await sleep(roundMilliseconds);
    }
    await sleep(restMilliseconds);
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

/** Gets the processor time that the nodes have used so far, in seconds. */
function getMeanProcessorTime(): number {
    return getMean(processId => {
        const fields = readFileSync(`/proc/${processId}/stat`, "utf8").split(") ")[1]!.split(" ");
        return (Number(fields[userTimeField]) + Number(fields[systemTimeField])) / ticksPerSecond;
    });
}

function getMeanMemory(): number {
    return Math.round(getMean(processId => {
        const status = readFileSync(`/proc/${processId}/status`, "utf8");
        return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]) / kilobytesPerMegabyte;
    }));
}

function getMean(read: (processId: number) => number): number {
    let sum = 0;
    for (const node of deployment.nodes) {
        sum += read(node.process.getProcessId());
    }
    return sum / deployment.nodes.length;
}
