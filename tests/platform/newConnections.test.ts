import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { Agent, request as sendRequest } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { findFreePorts } from "../../scripts/deployment/findFreePorts.ts";
import { callerKey } from "../../standins/router/callerKey.ts";
import { createBootFile } from "../../standins/router/createBootFile.ts";
import { createConfiguration } from "../../standins/router/createConfiguration.ts";
import { createEndpointRecord } from "../../standins/router/createEndpointRecord.ts";
import { EndpointStandin } from "../../standins/router/endpointStandin.ts";
import { KeyValueStandin } from "../../standins/router/keyValueStandin.ts";
import { createSeededRandom } from "../support/createSeededRandom.ts";

const nodeCount = 4;
const callerCount = 60;
const requestsPerSecond = 270;
/** Part of a core that each node has at first. */
const processorShare = 0.14;
/** Factor by which the part of a core grows until a node serves its part of the requests. */
const processorShareStep = 1.2;
/** Steps beyond that, so that a short pause doesn't leave more requests waiting than the node can make up for. */
const spareProcessorSteps = 2;
const maximumProcessorShare = 0.9;
/** Time between two signals, which would be joined otherwise. */
const signalMilliseconds = 200;
/** Time in which the nodes compile their code with all of a core. */
const warmUpMilliseconds = 4_000;
/** Time with one part of a core; the second half is judged. */
const processorStepMilliseconds = 4_000;
/** Part of the requests that is served once a node serves its part of them. */
const sufficientFraction = 0.99;
const baselineMilliseconds = 10_000;
const herdMilliseconds = 12_000;
/** Time after which the rule holds. */
const settleMilliseconds = 3_000;
/** Part of the new connections that one node gets. */
const hotFraction = 0.95;
const deadlineMilliseconds = 3_000;
/** Time after which callers give up an idempotent request that was not read. */
const unreadMilliseconds = 1_000;
const maximumAttempts = 4;
const missesUntilOut = 2;
const paths = ["/safe/x", "/unsafe/x"];
/** Part of the share of requests served before that must be served from the settling time on. */
const minimumFraction = 0.75;

/** A node and what the load balancer knows of it. */
interface Node {
    child: ChildProcess;
    callerPort: number;
    readinessPort: number;
    misses: number;
}

/** A request of a caller, over all its attempts. */
interface Outcome {
    sentAt: number;
    endedAt: number;
    path: string;
    /** Result of the first attempt that was read, or of the last one if none was. */
    firstRead: string;
}

// Guards against callers who wait behind others for most of their time, since nothing limits how many connections wait to be accepted.
describe("Nodes of which one gets most new connections", () => {
    let store: KeyValueStandin;
    let folder: string;
    const endpoints: EndpointStandin[] = [];
    const nodes: Node[] = [];
    const random = createSeededRandom(7);
    const channels: { node: number; agent: Agent; }[] = [];
    const outcomes: Outcome[] = [];
    const pending: Promise<void>[] = [];
    let isHerd = false;
    let isRunning = true;
    let requestCount = 0;

    before(async () => {
        store = await KeyValueStandin.create();
        store.put("op/config", createConfiguration(1));
        for (const id of ["d1", "d2"]) {
            const endpoint = await EndpointStandin.create({ id });
            endpoint.behaviour = { delayMilliseconds: 20 };
            endpoints.push(endpoint);
            store.put(`servers/${id}`, createEndpointRecord({ service: "documents", address: endpoint.getAddress() }));
        }
        folder = mkdtempSync(join(tmpdir(), "foxlead-new-connections-"));
        const seeds: string[] = [];
        for (let index = 0; index < nodeCount; index++) {
            const [callers, readiness, peers, admin, tunnels] = await findFreePorts(5) as [
                number,
                number,
                number,
                number,
                number,
            ];
            const file = join(folder, `node-${index}.yaml`);
            const options = {
                vm: `edge-${index}`,
                dataCentre: "a",
                callers,
                readiness,
                peers,
                admin,
                tunnels,
                seeds,
                store: store.getAddress(),
            };
            writeFileSync(file, createBootFile(options));
            const parameters = [
                "--import",
                "./tests/support/limitProcessor.ts",
                "src/main.ts",
                "platform",
                "--settings",
                file,
            ];
            const env = {
                ...process.env,
                PROCESSOR_SHARE: String(processorShare),
                PROCESSOR_SHARE_STEP: String(processorShareStep),
            };
            const child = spawn(process.execPath, parameters, { stdio: ["ignore", "ignore", "inherit"], env });
            nodes.push({ child, callerPort: callers, readinessPort: readiness, misses: 0 });
            seeds.push(`127.0.0.1:${peers}`);
        }
        for (const node of nodes) {
            for (let count = 0; count < 400 && !await isReady(node); count++) {
                await wait(50);
            }
        }
        await wait(1_500);
    });

    after(async () => {
        for (const { child } of nodes) {
            child.kill("SIGKILL");
        }
        for (const { agent } of channels) {
            agent.destroy();
        }
        for (const endpoint of endpoints) {
            await endpoint.close();
        }
        await store.close();
        rmSync(folder, { recursive: true });
    });

    async function isReady({ readinessPort }: Node): Promise<boolean> {
        const signal = AbortSignal.timeout(1_000);
        const response = await fetch(`http://127.0.0.1:${readinessPort}/v1/readiness`, { signal }).catch(() =>
            undefined
        );
        return response?.status === 200;
    }

    async function checkReadiness(): Promise<void> {
        while (isRunning) {
            await Promise.all([
                wait(1_000),
                ...nodes.map(async node => {
                    node.misses = await isReady(node) ? 0 : node.misses + 1;
                }),
            ]);
        }
    }

    const listIn = () => {
        const isIn = nodes.map((_node, index) => index).filter(index => nodes[index]!.misses < missesUntilOut);
        return isIn.length * 2 < nodeCount ? nodes.map((_node, index) => index) : isIn;
    };

    function chooseNode(caller: number): number {
        const isIn = listIn();
        return isHerd && random() < hotFraction ? isIn[0]! : isIn[caller % isIn.length]!;
    }

    /** Sends one attempt. Returns a status, `unread` or `lost`. */
    function attempt(node: number, agent: Agent | undefined, path: string, leftMilliseconds: number): Promise<string> {
        requestCount += 1;
        const headers = {
            host: "one.example",
            "request-id": `request-${requestCount}`,
            "request-deadline-ms": String(Math.round(leftMilliseconds)),
            authorization: `Bearer ${callerKey}`,
        };
        const isIdempotent = path.startsWith("/safe");
        const patience = isIdempotent ? Math.min(unreadMilliseconds, leftMilliseconds / 3) : leftMilliseconds;
        return new Promise(resolve => {
            const port = nodes[node]!.callerPort;
            const options = { host: "127.0.0.1", port, path, method: "POST", headers, agent: agent ?? false };
            const request = sendRequest(options, response => {
                response.resume();
                response.on("close", () => resolve(response.complete ? String(response.statusCode) : "lost"));
            });
            const timer = setTimeout(() => request.destroy(new Error("patience")), patience);
            request.on("close", () => clearTimeout(timer));
            request.on(
                "error",
                error => resolve(error.message === "patience" ? isIdempotent ? "unread" : "late" : "unread"),
            );
            request.end("body");
        });
    }

    async function sendAsCaller(caller: number): Promise<void> {
        const sentAt = performance.now();
        const path = paths[random() < 0.5 ? 0 : 1]!;
        const getLeft = () => sentAt + deadlineMilliseconds - performance.now();
        if (channels[caller] === undefined || random() < (isHerd ? 0.8 : 0.3)) {
            closeIdle(channels[caller]?.agent);
            channels[caller] = { node: chooseNode(caller), agent: new Agent({ keepAlive: true }) };
        }
        const { node, agent } = channels[caller];
        let result = await attempt(node, agent, path, getLeft());
        let firstRead = result;
        let attempts = 1;
        while (attempts < maximumAttempts && getLeft() > 200 && (result === "unread" || result === "503")) {
            await wait(result === "503" ? 300 : 20);
            const isIn = listIn();
            const others = isIn.filter(index => index !== node);
            result = await attempt(others[Math.floor(random() * others.length)] ?? node, undefined, path, getLeft());
            firstRead = firstRead === "unread" ? result : firstRead;
            attempts += 1;
        }
        outcomes.push({ sentAt, endedAt: performance.now(), path, firstRead });
    }

    async function runCaller(caller: number): Promise<void> {
        const interval = callerCount * 1_000 / requestsPerSecond;
        await wait(random() * interval);
        while (isRunning) {
            pending.push(sendAsCaller(caller));
            await wait(interval * (0.5 + random()));
        }
    }

    function signalNodes(): void {
        for (const { child } of nodes) {
            child.kill("SIGUSR2");
        }
    }

    /** Limits the nodes to little more than the processor time that their part of the requests takes on this machine. */
    async function limitNodes(): Promise<number> {
        let share = processorShare;
        const raiseShare = async () => {
            signalNodes();
            share *= processorShareStep;
            await wait(signalMilliseconds);
        };
        signalNodes();
        while (share < maximumProcessorShare && !await isShareSufficient()) {
            await raiseShare();
        }
        for (let step = 0; step < spareProcessorSteps; step++) {
            await raiseShare();
        }
        return share;
    }

    async function isShareSufficient(): Promise<boolean> {
        await wait(processorStepMilliseconds);
        const judgedFrom = performance.now() - processorStepMilliseconds / 2;
        const ended = outcomes.filter(outcome => outcome.endedAt >= judgedFrom);
        return ended.filter(({ firstRead }) => firstRead === "200").length >= sufficientFraction * ended.length;
    }

    /** Gets the part of the requests sent in an interval that were served at the first attempt that was read. */
    function getServedShare(path: string, from: number, to: number): number {
        const sent = outcomes.filter(outcome => outcome.path === path && outcome.sentAt >= from && outcome.sentAt < to);
        return sent.filter(({ firstRead }) => firstRead === "200").length / sent.length;
    }

    it("serve nearly as often as before from the settling time on", { timeout: 120_000 }, async context => {
        void checkReadiness();
        const running = Array.from({ length: callerCount }, (_item, caller) => runCaller(caller));
        await wait(warmUpMilliseconds);
        const share = await limitNodes();
        context.diagnostic(`Each node has ${share.toFixed(3)} of a core.`);
        const startedAt = performance.now();
        await wait(baselineMilliseconds);
        isHerd = true;
        const herdAt = performance.now();
        await wait(herdMilliseconds);
        isRunning = false;
        const endedAt = performance.now();
        await Promise.all(running);
        await Promise.all(pending);
        for (const path of paths) {
            const steady = getServedShare(path, startedAt + baselineMilliseconds / 2, herdAt);
            const settled = getServedShare(path, herdAt + settleMilliseconds, endedAt);
            context.diagnostic(`${path}: ${steady.toFixed(3)} before, ${settled.toFixed(3)} from the settling time on`);
            assert.ok(steady > 0.9, `Only ${steady} of the requests of ${path} are served with even connections.`);
            assert.ok(settled >= minimumFraction * steady, `${path}: ${settled} served, ${steady} before.`);
        }
    });
});

/** Closes the idle connections of a caller, and each other one after its answer. */
function closeIdle(agent: Agent | undefined): void {
    if (agent !== undefined) {
        agent.maxFreeSockets = 0;
        for (const socket of Object.values(agent.freeSockets).flatMap(sockets => sockets ?? [])) {
            socket.destroy();
        }
    }
}
