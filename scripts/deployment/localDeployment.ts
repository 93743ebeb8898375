import { createHash } from "node:crypto";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { ChildProcess } from "./childProcess.ts";
import { demoEngines } from "./demoEngines.ts";
import type { EngineSpecification } from "./engineSpecification.ts";
import { findFreePorts } from "./findFreePorts.ts";

/** Options of a {@link LocalDeployment}. */
interface LocalDeploymentOptions {
    nodes: number;
    engines?: readonly EngineSpecification[];
    documents?: number;
    /** Whether nodes run from the built executable or from the sources. */
    isBuilt: boolean;
    /** Further members of the configuration's limits and claims. */
    limits?: object;
    claims?: object;
    maximumSequences?: number;
    shutdownMilliseconds?: number;
    /** URL that nodes export their spans to. */
    otlpAddress?: string;
    onLine?(name: string, line: string): void;
}

/** A node process with its addresses. */
export interface DeployedNode {
    name: string;
    process: ChildProcess;
    callerAddress: string;
    peerAddress: string;
    adminAddress: string;
    settingsFile: string;
}

/** A stand-in process with its address. */
export interface DeployedStandin {
    name: string;
    process: ChildProcess;
    address: string;
}

const modelLayers = 24;
const peerSecret = "a-secret-for-local-deployments-only";
const dataCentres = ["centre-a", "centre-b", "centre-c"];

/**
 * Starts the platform's stand-in, engines, document services and nodes as separate processes on the loopback address.
 * Used by the demo, the soak and the tests of processes.
 */
export class LocalDeployment {
    /** Key of the customer `families`. */
    readonly apiKey = "demo-key-families";
    readonly otherApiKey = "demo-key-clerks";
    readonly model = "assistant-24";
    readonly modelLayers = modelLayers;
    platform!: DeployedStandin;
    readonly engines: DeployedStandin[] = [];
    readonly documents: DeployedStandin[] = [];
    readonly nodes: DeployedNode[] = [];
    private readonly options: LocalDeploymentOptions;
    private readonly directory = mkdtempSync(join(tmpdir(), "foxlead-"));
    private nextNode = 1;

    private constructor(options: LocalDeploymentOptions) {
        this.options = options;
    }

    /** Starts everything and waits until each process listens; no configuration is applied yet. */
    static async create(options: LocalDeploymentOptions): Promise<LocalDeployment> {
        const deployment = new LocalDeployment(options);
        await deployment.startStandins();
        for (let index = 0; index < options.nodes; index += 1) {
            await deployment.startNode();
        }
        return deployment;
    }

    /** Starts one more node. */
    async startNode(name = `node-${this.nextNode}`): Promise<DeployedNode> {
        this.nextNode += 1;
        const [caller, peer, admin] = await findFreePorts(3);
        const settingsFile = join(this.directory, `${name}.settings.jsonc`);
        const addresses = {
            callerAddress: `127.0.0.1:${caller}`,
            peerAddress: `127.0.0.1:${peer}`,
            adminAddress: `127.0.0.1:${admin}`,
        };
        writeFileSync(settingsFile, JSON.stringify(this.createSettings(name, addresses), undefined, 4));
        const process = this.startFoxlead(name, ["node", "--settings", settingsFile]);
        await process.waitForLine(/FL1001/);
        const node = { name, process, settingsFile, ...addresses };
        this.nodes.push(node);
        await this.setVm(name, { state: "live", role: "node", address: addresses.peerAddress });
        return node;
    }

    /** Runs the command line of foxlead to its end. */
    async runCommand(options: readonly string[]): Promise<{ code: number | undefined; lines: readonly string[]; }> {
        const process = this.startFoxlead("command", options);
        const code = await process.exited;
        return { code, lines: process.getLines() };
    }

    /** Starts foxlead, built or from its sources. */
    startFoxlead(name: string, options: readonly string[]): ChildProcess {
        const { isBuilt } = this.options;
        const command = isBuilt ? "dist/foxlead" : globalThis.process.execPath;
        const all = isBuilt ? options : ["--disable-warning=ExperimentalWarning", "src/main.ts", ...options];
        return this.startChild(name, command, all);
    }

    /** Writes a configuration of this deployment into a file. */
    writeConfiguration(change: (configuration: Record<string, unknown>) => void = () => undefined): string {
        const configuration = this.createConfiguration();
        change(configuration);
        const file = join(this.directory, `configuration-${Date.now()}-${Math.random()}.jsonc`);
        const text = JSON.stringify(configuration, undefined, 4);
        writeFileSync(file, `// The operators' text: every service and what it depends on.\n${text}\n`);
        return file;
    }

    /** Applies a configuration by the command line and waits until it is in force everywhere. */
    async apply(file = this.writeConfiguration()): Promise<readonly string[]> {
        const admin = this.nodes.map(node => node.adminAddress).join(",");
        const options = [
            "config",
            "apply",
            file,
            "--store",
            this.platform.address,
            "--yes",
            "--wait",
            "--admin",
            admin,
        ];
        const { code, lines } = await this.runCommand(options);
        if (code !== 0) {
            throw new Error(`config apply ended with ${code}:\n${lines.join("\n")}`);
        }
        return lines;
    }

    /** Tells the platform's list of machines about one. */
    async setVm(name: string, record: object): Promise<void> {
        await fetch(`http://${this.platform.address}/standin/vms/${name}`, {
            method: "PUT",
            headers: { "content-type": "application/json" },
            body: JSON.stringify({ vm: name, dataCentre: dataCentres[0], ...record }),
        });
    }

    /** Sets faults of a stand-in. */
    async setFaults(standin: DeployedStandin, faults: object): Promise<void> {
        await fetch(`http://${standin.address}/standin/faults`, {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify(faults),
        });
    }

    /** Starts an engine, also one that was stopped: it gets a new port unless one is given. */
    async startEngine(engine: EngineSpecification, port = 0): Promise<DeployedStandin> {
        const sequences = String(this.options.maximumSequences ?? 64);
        return await this.startStandin(engine.name, "standins/engine/main.ts", port, [
            ...["--name", engine.name, "--layers", `${this.model}:${engine.layers}`],
            ...["--model-layers", `${this.model}:${modelLayers}`, "--maximum-sequences", sequences],
            ...["--step-milliseconds-per-layer", String(engine.stepMillisecondsPerLayer)],
            ...["--checks-fencing", String(engine.checksFencing)],
        ]);
    }

    /** Stops every process: nodes first, gracefully. Returns the exit codes of the nodes. */
    async stop(): Promise<(number | undefined)[]> {
        const codes = await Promise.all(this.nodes.map(node => node.process.stop()));
        const standins = [...this.engines, ...this.documents, this.platform];
        await Promise.all(standins.map(standin => standin.process.stop(2_000)));
        return codes;
    }

    getEngineSpecifications(): readonly EngineSpecification[] {
        return this.options.engines ?? demoEngines;
    }

    private async startStandins(): Promise<void> {
        this.platform = await this.startStandin("platform", "standins/platform/main.ts", 0, []);
        const engines = this.getEngineSpecifications().map(engine => this.startEngine(engine));
        this.engines.push(...await Promise.all(engines));
        for (let index = 1; index <= (this.options.documents ?? 2); index += 1) {
            const name = `document-${index}`;
            this.documents.push(await this.startStandin(name, "standins/document/main.ts", 0, ["--name", name]));
        }
        for (const standin of [...this.engines, ...this.documents]) {
            await this.setVm(standin.name, { state: "live", role: "endpoint", address: standin.address });
        }
    }

    private async startStandin(
        name: string,
        file: string,
        port: number,
        options: readonly string[],
    ): Promise<DeployedStandin> {
        const all = ["--disable-warning=ExperimentalWarning", file, "--port", String(port), ...options];
        const process = this.startChild(name, globalThis.process.execPath, all);
        const [, address] = await process.waitForLine(/ready on (127\.0\.0\.1:\d+)/);
        return { name, process, address: address! };
    }

    private startChild(name: string, command: string, options: readonly string[]): ChildProcess {
        const { onLine } = this.options;
        return ChildProcess.create({ name, command, options, onLine: line => onLine?.(name, line) });
    }

    private createSettings(
        name: string,
        addresses: { callerAddress: string; peerAddress: string; adminAddress: string; },
    ): object {
        const { otlpAddress, shutdownMilliseconds } = this.options;
        return {
            vm: name,
            dataCentre: dataCentres[this.nodes.length % dataCentres.length],
            callerListener: addresses.callerAddress,
            peerListener: addresses.peerAddress,
            adminListener: addresses.adminAddress,
            platform: { storeAddress: this.platform.address, vmListAddress: this.platform.address },
            peers: this.nodes.map(node => node.peerAddress),
            peerSecret,
            shutdownMilliseconds: shutdownMilliseconds ?? 30_000,
            ...(otlpAddress === undefined ? {} : { tracing: { otlpAddress, sampleRatio: 1 } }),
        };
    }

    private createConfiguration(): Record<string, unknown> {
        const endpoints: Record<string, object> = {};
        for (const [index, engine] of this.getEngineSpecifications().entries()) {
            const [start, end] = engine.layers.split("-").map(Number);
            endpoints[engine.name] = {
                kind: "engine",
                address: this.engines[index]!.address,
                dataCentre: engine.dataCentre,
                accelerator: engine.accelerator,
                layers: [{ model: this.model, start, end }],
                checksFencing: engine.checksFencing,
                maximumSequences: this.options.maximumSequences ?? 64,
            };
        }
        for (const document of this.documents) {
            endpoints[document.name] = {
                kind: "document",
                address: document.address,
                dataCentre: dataCentres[0],
                maximumSequences: 64,
            };
        }
        const documentNames = this.documents.map(document => document.name);
        return {
            dataCentres: Object.fromEntries(dataCentres.map(name => [name, { region: "south" }])),
            links: createLinks(),
            models: { [this.model]: { layers: modelLayers, hiddenBytes: 8192 } },
            endpoints,
            services: {
                assistant: { kind: "model", model: this.model },
                letters: { kind: "model", model: this.model, idempotent: false },
                ...(documentNames.length === 0 ? {} : {
                    receipts: { kind: "document", endpoints: documentNames, idempotent: false },
                    summaries: { kind: "document", endpoints: documentNames, idempotent: true },
                }),
            },
            customers: {
                families: { keyHashes: [hashKey(this.apiKey)], weight: 3, requestsPerSecond: 10_000 },
                clerks: { keyHashes: [hashKey(this.otherApiKey)], weight: 1, requestsPerSecond: 10_000 },
            },
            ...(this.options.limits === undefined ? {} : { limits: this.options.limits }),
            ...(this.options.claims === undefined ? {} : { claims: this.options.claims }),
        };
    }
}

function createLinks(): object[] {
    const links: object[] = [];
    for (const [index, from] of dataCentres.entries()) {
        for (const to of dataCentres.slice(index + 1)) {
            links.push({ from, to, latencyMilliseconds: 0.5, megabytesPerSecond: 1_000 });
        }
    }
    return links;
}

function hashKey(key: string): string {
    return `sha256:${createHash("sha256").update(key).digest("hex")}`;
}
