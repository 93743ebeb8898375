/** A small deployment: real processes of the deploy file's command, beside stand-ins of the store and the runners, on loopback. */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { clearInterval, setInterval } from "node:timers";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath, URL } from "node:url";
import { createBootFile } from "../standins/router/createBootFile.ts";
import { createEndpointRecord } from "../standins/router/createEndpointRecord.ts";
import { KeyValueStandin } from "../standins/router/keyValueStandin.ts";

const root = join(dirname(fileURLToPath(import.meta.url)), "..");
const readyMilliseconds = 20_000;
const memoryCheckMilliseconds = 25;
const restartMilliseconds = 1_000;
const lowestPort = 15_000;
const highestPort = 32_000;
/** `writes_per_s` and `reads_per_s` of the site. */
const ratesPerSecond = { writes: 400, reads: 2_000 };

/** Opens a port of the loopback address; undefined if it is in use. */
function tryListen(port) {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(undefined));
        server.listen(port, "127.0.0.1", () => resolve(server));
    });
}

/** Finds free ports on the loopback address, below those that systems give to outgoing connections, so that they stay free at a restart. */
export async function findPorts(count) {
    const servers = [];
    while (servers.length < count) {
        const port = lowestPort + Math.floor(Math.random() * (highestPort - lowestPort));
        const server = await tryListen(port);
        if (server !== undefined) {
            servers.push(server);
        }
    }
    const ports = servers.map(server => server.address().port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}

/** Refuses the calls beyond the rates of the site's store with 429, as PROTOCOL.md says. Stale reads don't count. */
function limitRates(store) {
    const handle = store.handle.bind(store);
    const counts = { writes: 0, reads: 0, second: 0 };
    store.handle = (request, response) => {
        const second = Math.floor(Date.now() / 1_000);
        if (second !== counts.second) {
            Object.assign(counts, { writes: 0, reads: 0, second });
        }
        const isWrite = request.url.startsWith("/v1/kv-txn");
        const isCounted = isWrite || !request.url.includes("allow_stale");
        const kind = isWrite ? "writes" : "reads";
        counts[kind] += isCounted ? 1 : 0;
        if (counts[kind] > ratesPerSecond[kind]) {
            const path = new URL(request.url, "http://store").pathname;
            store.callCounts.set(path, (store.callCounts.get(path) ?? 0) + 1);
            request.resume();
            response.writeHead(429, { "Store-Era": String(store.era), "Content-Length": 0 }).end();
            return Promise.resolve();
        }
        return handle(request, response);
    };
}

/** The processes and the store of one case. */
export class Deployment {
    /** Those that may have processes. */
    static all = new Set();
    nodes = [];
    /** The runners, which reach each other at their addresses. */
    runners = [];
    directory = mkdtempSync(join(tmpdir(), "foxlead-review-"));
    store;
    log;

    /** Creates a deployment with a store and without machines. */
    static async create(log) {
        const deployment = new Deployment();
        Deployment.all.add(deployment);
        deployment.log = log;
        deployment.store = await KeyValueStandin.create();
        limitRates(deployment.store);
        return deployment;
    }

    /** Writes a configuration as the operator does. */
    configure(configuration) {
        this.store.put("op/config", configuration);
        this.log(`operator: wrote version ${configuration.version}`);
    }

    /** Writes the entry of a runner, as the runner does. */
    register(id, { kind, ...fields }) {
        const entry = createEndpointRecord(fields);
        this.store.put(`servers/${id}`, kind === undefined ? entry : { ...entry, kind });
    }

    /** Starts machines and waits until each reports that it is ready. */
    async startNodes(count, { zones = ["a"], storeAddresses = [] } = {}) {
        const ports = await findPorts(5 * count);
        for (let index = 0; index < count; index += 1) {
            const [callers, readiness, peers, admin, tunnels] = ports.slice(5 * index);
            const seeds = this.nodes.slice(0, 3).map(node => `127.0.0.1:${node.ports.peers}`);
            const node = {
                name: `edge-${index + 1}`,
                ports: { callers, readiness, peers, admin, tunnels },
                settings: join(this.directory, `edge-${index + 1}.yaml`),
                child: undefined,
                exited: undefined,
                lines: [],
            };
            writeFileSync(node.settings, createBootFile({
                vm: node.name,
                dataCentre: zones[index % zones.length],
                ...node.ports,
                seeds,
                store: storeAddresses[index] ?? this.store.getAddress(),
            }));
            this.nodes.push(node);
            this.startProcess(node);
        }
        await Promise.all(this.nodes.map(node => this.waitUntilReady(node)));
    }

    /** Starts the process of a machine with the command of the deploy file. */
    startProcess(node) {
        const child = spawn(join(root, "target", "foxlead"), ["platform"], {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, FOXLEAD_BOOT: node.settings },
            stdio: ["ignore", "pipe", "pipe"],
        });
        node.child = child;
        node.exited = new Promise(resolve => child.once("exit", (code, signal) => resolve({ code, signal })));
        for (const stream of [child.stdout, child.stderr]) {
            stream.setEncoding("utf8");
            stream.on("data", text => node.lines.push(...text.split("\n").filter(line => line !== "")));
        }
        void node.exited.then(({ code, signal }) => this.log(`${node.name}: process ended (${code ?? signal})`));
    }

    /** Gets if a machine reports that it is ready. */
    isReady(node) {
        return new Promise(resolve => {
            const request = get(`http://127.0.0.1:${node.ports.readiness}/v1/readiness`, { timeout: 1_000 }, answer => {
                answer.resume();
                resolve(answer.statusCode === 200);
            });
            request.on("timeout", () => request.destroy());
            request.on("error", () => resolve(false));
            request.on("close", () => resolve(false));
        });
    }

    /** Waits until a machine is ready; throws if it isn't in time. */
    async waitUntilReady(node) {
        const until = Date.now() + readyMilliseconds;
        while (!await this.isReady(node)) {
            if (Date.now() > until) {
                throw new Error(`${node.name} isn't ready: ${node.lines.slice(-12).join(" / ")}`);
            }
            await sleep(50);
        }
    }

    /** Kills a machine's process and waits for its end. */
    async kill(node) {
        node.child.kill("SIGKILL");
        await node.exited;
    }

    /** Gets the memory of a machine's process in MB; 0 if it doesn't run. */
    getMemory(node) {
        try {
            const status = readFileSync(`/proc/${node.child.pid}/status`, "utf8");
            return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024;
        }
        catch {
            return 0;
        }
    }

    /**
     * Kills a process that exceeds the memory of its machine, as the platform does, and starts it again after a short delay.
     * @param maximumMegabytes - `memory_mb` of the settings.
     * @param onKilled - Called with the machine and its memory in MB.
     */
    watchMemory(maximumMegabytes, onKilled) {
        this.memoryTimer = setInterval(() => {
            for (const node of this.nodes) {
                const megabytes = this.getMemory(node);
                node.peakMegabytes = Math.max(node.peakMegabytes ?? 0, megabytes);
                if (megabytes > maximumMegabytes && node.isRestarting !== true) {
                    node.isRestarting = true;
                    this.log(`${node.name}: ${Math.round(megabytes)} MB, more than its ${maximumMegabytes} MB; the platform kills it`);
                    onKilled(node, megabytes);
                    node.child.kill("SIGKILL");
                    void node.exited.then(() => sleep(restartMilliseconds)).then(() => {
                        if (!this.isClosed) {
                            this.startProcess(node);
                            node.isRestarting = false;
                        }
                    });
                }
            }
        }, memoryCheckMilliseconds);
    }

    /** Ends the processes of all deployments that are not closed. */
    static async closeAll() {
        for (const deployment of Deployment.all) {
            await deployment.close();
        }
    }

    /** Ends all processes and the store. */
    async close() {
        Deployment.all.delete(this);
        this.isClosed = true;
        clearInterval(this.memoryTimer);
        for (const node of this.nodes) {
            if (node.child?.exitCode === null && node.child?.signalCode === null) {
                node.child.kill("SIGKILL");
                await node.exited;
            }
        }
        await this.store.close();
        rmSync(this.directory, { recursive: true, force: true });
    }
}
