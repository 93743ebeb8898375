import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { ChildProcess } from "./childProcess.ts";
import { createDeploymentConfiguration } from "./createDeploymentConfiguration.ts";
import { createNodeSettings } from "./createNodeSettings.ts";
import { demoEngines } from "./demoEngines.ts";
import type { EngineSpecification } from "./engineSpecification.ts";
import { findFreePorts } from "./findFreePorts.ts";
import { ProcessStarter } from "./processStarter.ts";

/** Options of {@link LocalDeployment}. */
interface LocalDeploymentOptions {
    /** Number of nodes. */
    nodes: number;
    /** Engines of the model. Default: those of the demo. */
    engines?: readonly EngineSpecification[];
    /** Number of document services. Default: 2. */
    documents?: number;
    /** Whether nodes run from the built executable instead of the sources. */
    isBuilt: boolean;
    /** Sections `limits` and `claims` of the configuration; omitted if undefined. */
    limits?: object;
    claims?: object;
    /** Maximum of concurrent sequences per engine. Default: 64. */
    maximumSequences?: number;
    /** Maximum duration of a node's graceful shutdown. Default: 30 s. */
    shutdownMilliseconds?: number;
    /** URL to which nodes export spans; undefined to disable tracing. */
    otlpAddress?: string;
    /** Called for each line of output of a process. */
    onLine?(name: string, line: string): void;
}

/** Name and addresses of a node. */
interface PlannedNode {
    name: string;
    dataCentre: string;
    /** Addresses as host:port. */
    callerAddress: string;
    peerAddress: string;
    adminAddress: string;
}

/** A node process with its addresses. */
export interface DeployedNode extends PlannedNode {
    process: ChildProcess;
    settingsFile: string;
}

/** A stand-in process with its address. */
export interface DeployedStandin {
    name: string;
    process: ChildProcess;
    address: string;
}

const modelLayers = 24;
const defaultMaximumSequences = 64;
const defaultDocumentServices = 2;
const defaultShutdownMilliseconds = 30_000;
const dataCentres = ["centre-a", "centre-b", "centre-c"];

/**
 * Runs stand-ins for the platform, engines and document services, and nodes, as separate processes on the loopback
 * address. Used by the demo, the soak test and the system tests.
 */
export class LocalDeployment {
    /** API key of the customer `families`. */
    readonly apiKey = "demo-key-families";
    /** API key of the customer `clerks`. */
    readonly otherApiKey = "demo-key-clerks";
    readonly model = "assistant-24";
    readonly modelLayers = modelLayers;
    platform!: DeployedStandin;
    readonly engines: DeployedStandin[] = [];
    readonly documents: DeployedStandin[] = [];
    readonly nodes: DeployedNode[] = [];
    private readonly options: LocalDeploymentOptions;
    private readonly directory = mkdtempSync(join(tmpdir(), "foxlead-"));
    private readonly processes: ProcessStarter;
    private nextNode = 1;

    private constructor(options: LocalDeploymentOptions) {
        this.options = options;
        this.processes = ProcessStarter.create(options);
    }

    /** Starts all processes and waits until they listen. Does not apply a configuration. */
    static async create(options: LocalDeploymentOptions): Promise<LocalDeployment> {
        const deployment = new LocalDeployment(options);
        await deployment.startStandins();
        await deployment.startNodes(options.nodes);
        return deployment;
    }

    /** Starts an additional node. */
    async startNode(): Promise<DeployedNode> {
        const [node] = await this.startNodes(1);
        return node!;
    }

    /** Runs a command of foxlead and waits until it exits. */
    async runCommand(options: readonly string[]): Promise<{ code: number | undefined; lines: readonly string[]; }> {
        const process = this.startFoxlead("command", options);
        const code = await process.exited;
        return { code, lines: process.getLines() };
    }

    /** Starts a foxlead process. */
    startFoxlead(name: string, options: readonly string[]): ChildProcess {
        return this.processes.startFoxlead(name, options);
    }

    /** Writes a configuration of this deployment to a file and returns its path. */
    writeConfiguration(change: (configuration: Record<string, unknown>) => void = () => undefined): string {
        const configuration = this.createConfiguration();
        change(configuration);
        const file = join(this.directory, `configuration-${Date.now()}-${Math.random()}.jsonc`);
        const text = JSON.stringify(configuration, undefined, 4);
        writeFileSync(file, `// The operators' configuration: all services and their dependencies.\n${text}\n`);
        return file;
    }

    /** Applies a configuration with `foxlead config apply` and waits until it is in force at all nodes. */
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
            throw new Error(`config apply exited with ${code}:\n${lines.join("\n")}`);
        }
        return lines;
    }

    /** Adds or updates a VM in the platform's list. */
    async setVm(name: string, record: object): Promise<void> {
        await fetch(`http://${this.platform.address}/standin/vms/${name}`, {
            method: "PUT",
            headers: { "content-type": "application/json" },
            body: JSON.stringify({ vm: name, dataCentre: dataCentres[0], ...record }),
        });
    }

    /** Removes a VM from the platform's list. */
    async removeVm(name: string): Promise<void> {
        await fetch(`http://${this.platform.address}/standin/vms/${name}`, { method: "DELETE" });
    }

    /** Sets the faults that a stand-in simulates. */
    async setFaults(standin: DeployedStandin, faults: object): Promise<void> {
        await fetch(`http://${standin.address}/standin/faults`, {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify(faults),
        });
    }

    /** Starts an engine, on a free port if `port` is 0. */
    async startEngine(engine: EngineSpecification, port = 0): Promise<DeployedStandin> {
        const sequences = String(this.options.maximumSequences ?? defaultMaximumSequences);
        return await this.startStandin(engine.name, "standins/engine/main.ts", port, [
            ...["--name", engine.name, "--layers", `${this.model}:${engine.layers}`],
            ...["--model-layers", `${this.model}:${modelLayers}`, "--maximum-sequences", sequences],
            ...["--step-milliseconds-per-layer", String(engine.stepMillisecondsPerLayer)],
            ...["--checks-fencing", String(engine.checksFencing)],
            ...(engine.stepBaseMilliseconds === undefined
                ? []
                : ["--step-base-milliseconds", String(engine.stepBaseMilliseconds)]),
        ]);
    }

    /** Stops all processes gracefully, nodes first, and returns the exit codes of the nodes. */
    async stop(): Promise<(number | undefined)[]> {
        const codes = await Promise.all(this.nodes.map(node => node.process.stop()));
        const standins = [...this.engines, ...this.documents, this.platform];
        await Promise.all(standins.map(standin => standin.process.stop(2_000)));
        return codes;
    }

    /** Kills all running processes, including frozen ones. */
    async kill(): Promise<void> {
        await this.processes.killAll();
    }

    /** Restarts a killed engine on its previous port. */
    async restartEngine(name: string): Promise<void> {
        const index = this.engines.findIndex(engine => engine.name === name);
        const specification = this.getEngineSpecifications().find(engine => engine.name === name);
        if (index < 0 || specification === undefined) {
            throw new Error(`The deployment has no engine ${name}. Use the name of one of its engines.`);
        }
        const port = Number(this.engines[index]!.address.split(":")[1]);
        this.engines[index] = await this.startEngine(specification, port);
    }

    /** Removes a terminated node from the deployment and from the platform's list of VMs. */
    async removeNode(node: DeployedNode): Promise<void> {
        const index = this.nodes.indexOf(node);
        if (index >= 0) {
            this.nodes.splice(index, 1);
        }
        await this.removeVm(node.name);
    }

    /** Gets the specifications of the deployment's engines. */
    getEngineSpecifications(): readonly EngineSpecification[] {
        return this.options.engines ?? demoEngines;
    }

    /** Starts nodes concurrently, each with the peer addresses of all nodes. */
    private async startNodes(count: number): Promise<DeployedNode[]> {
        const ports = await findFreePorts(3 * count);
        const planned: PlannedNode[] = [];
        for (let index = 0; index < count; index += 1) {
            const [caller, peer, admin] = ports.slice(3 * index);
            planned.push({
                name: `node-${this.nextNode}`,
                dataCentre: dataCentres[this.nextNode % dataCentres.length]!,
                callerAddress: `127.0.0.1:${caller}`,
                peerAddress: `127.0.0.1:${peer}`,
                adminAddress: `127.0.0.1:${admin}`,
            });
            this.nextNode += 1;
        }
        const peers = [...this.nodes, ...planned].map(node => node.peerAddress);
        const started = await Promise.all(planned.map(node => this.startPlannedNode(node, peers)));
        this.nodes.push(...started);
        return started;
    }

    private async startPlannedNode(planned: PlannedNode, peers: readonly string[]): Promise<DeployedNode> {
        const { name, peerAddress } = planned;
        const settingsFile = join(this.directory, `${name}.settings.jsonc`);
        const others = peers.filter(address => address !== peerAddress);
        const { otlpAddress, shutdownMilliseconds = defaultShutdownMilliseconds } = this.options;
        const settings = createNodeSettings({
            ...planned,
            platformAddress: this.platform.address,
            peers: others,
            shutdownMilliseconds,
            otlpAddress,
        });
        writeFileSync(settingsFile, JSON.stringify(settings, undefined, 4));
        const process = this.startFoxlead(name, ["node", "--settings", settingsFile]);
        await process.waitForLine(/FL1001/);
        await this.setVm(name, { state: "live", role: "node", address: peerAddress });
        return { ...planned, process, settingsFile };
    }

    private async startStandins(): Promise<void> {
        this.platform = await this.startStandin("platform", "standins/platform/main.ts", 0, []);
        const engines = this.getEngineSpecifications().map(engine => this.startEngine(engine));
        const documents: Promise<DeployedStandin>[] = [];
        for (let index = 1; index <= (this.options.documents ?? defaultDocumentServices); index += 1) {
            const name = `document-${index}`;
            documents.push(this.startStandin(name, "standins/document/main.ts", 0, ["--name", name]));
        }
        this.engines.push(...await Promise.all(engines));
        this.documents.push(...await Promise.all(documents));
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
        const process = this.processes.startSource(name, file, ["--port", String(port), ...options]);
        const [, address] = await process.waitForLine(/ready on (127\.0\.0\.1:\d+)/);
        return { name, process, address: address! };
    }

    private createConfiguration(): Record<string, unknown> {
        const { maximumSequences, limits, claims } = this.options;
        return createDeploymentConfiguration({
            dataCentres,
            model: this.model,
            modelLayers,
            engines: this.getEngineSpecifications().map((engine, index) => {
                return { ...engine, address: this.engines[index]!.address };
            }),
            documents: this.documents,
            maximumSequences: maximumSequences ?? defaultMaximumSequences,
            keys: { families: this.apiKey, clerks: this.otherApiKey },
            limits,
            claims,
        });
    }
}
