import { mkdtempSync, renameSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { parseAddress } from "../../../src/process/settings/parseAddress.ts";
import { LinkCut } from "../../../standins/network/linkCut.ts";
import { LoopbackProxy } from "../../../standins/network/loopbackProxy.ts";
import { createBootFile } from "../../../standins/router/createBootFile.ts";
import { KeyValueStandin } from "../../../standins/router/keyValueStandin.ts";
import type { ChildProcess } from "../../deployment/childProcess.ts";
import { findFreePorts } from "../../deployment/findFreePorts.ts";
import { ProcessStarter } from "../../deployment/processStarter.ts";
import { fetchText } from "../fetchText.ts";
import { createSoakConfiguration } from "./createSoakConfiguration.ts";
import { getLinksFile } from "./getLinksFile.ts";
import type { LinkState } from "./linkState.ts";
import { promptService } from "./promptService.ts";
import { SoakEndpoint } from "./soakEndpoint.ts";
import type { SoakNode } from "./soakNode.ts";

/** Options of {@link RouterDeployment}. */
interface RouterDeploymentOptions {
    nodes: number;
    /** Time within which a change must be in force, in milliseconds. */
    configurationMilliseconds?: number;
    /** Whether nodes run from the built executable instead of the sources. */
    isBuilt: boolean;
    /** Command and leading arguments that run foxlead; overrides `isBuilt`. */
    foxlead?: readonly string[];
    /** Called for each line of output of a process. */
    onLine(name: string, line: string): void;
    /** Called when a node exits without being stopped. */
    onUnexpectedEnd(name: string, code: number | undefined): void;
}

const dataCentres = ["a", "b"];
/** Data centres of the stages. A chain needs four stages, so that no data centre holds every layer. */
const stageDataCentres = ["a", "a", "a", "b"];
const documentEndpoints = 3;
/** Endpoints of the service whose requests declare the parts of their prompts. Each holds every layer. */
const promptEndpoints = 6;
const portsPerNode = 5;
const pollMilliseconds = 50;
const checkTimeoutMilliseconds = 1_000;
const stopMilliseconds = 8_000;

/** A local deployment of `foxlead platform` processes, with stand-ins for the store and the endpoints behind proxies. */
export class RouterDeployment {
    readonly store: KeyValueStandin;
    readonly nodes: SoakNode[] = [];
    readonly endpoints: SoakEndpoint[] = [];
    /** Whether a fault of the store is in progress. */
    isStoreTaken = false;
    private readonly options: RouterDeploymentOptions;
    private readonly processes: ProcessStarter;
    private readonly directory = mkdtempSync(join(tmpdir(), "foxlead-soak-"));
    private version = 1;
    private writeConfiguration: () => void = () => undefined;

    private constructor(options: RouterDeploymentOptions, store: KeyValueStandin) {
        this.options = options;
        this.store = store;
        this.processes = ProcessStarter.create({ ...options, preloaded: ["scripts/soak/router/cuttableLinks.ts"] });
    }

    /** Starts all parts and waits until the nodes are ready and the stages hold layers. */
    static async create(options: RouterDeploymentOptions): Promise<RouterDeployment> {
        const deployment = new RouterDeployment(options, await KeyValueStandin.create());
        try {
            deployment.configure();
            await deployment.startEndpoints();
            await deployment.startNodes();
            await deployment.waitForLayers();
        }
        catch (error) {
            await deployment.close();
            throw error;
        }
        return deployment;
    }

    /** Writes a new version of the configuration and returns the version. */
    configure(): number {
        this.version += 1;
        this.writeConfiguration = () => this.store.put("op/config", createSoakConfiguration(this.version));
        this.writeConfiguration();
        return this.version;
    }

    /** Gets the newest version of the configuration. */
    getVersion(): number {
        return this.version;
    }

    /** Restores the store from an older snapshot. The operator and the endpoints then write again what they have written. */
    restoreStore(copy: ReturnType<KeyValueStandin["createCopy"]>): void {
        this.store.restore(copy);
        this.writeConfiguration();
        for (const endpoint of this.endpoints) {
            void endpoint.handleStoreRestored();
        }
    }

    /** Gets the version of the configuration in force at a node; undefined if it does not answer. */
    async getVersionInForce({ ports }: SoakNode): Promise<number | undefined> {
        const answer = await fetchText(`http://127.0.0.1:${ports.admin}/metrics`, checkTimeoutMilliseconds);
        const version = /^foxlead_configuration_version (\d+)/m.exec(answer?.text ?? "")?.[1];
        return version === undefined ? undefined : Number(version);
    }

    /** Gets the id of a node's process, by which duties are assigned. */
    async getNodeId({ ports }: SoakNode): Promise<string | undefined> {
        const answer = await fetchText(`http://127.0.0.1:${ports.admin}/status`, checkTimeoutMilliseconds);
        return answer && (JSON.parse(answer.text) as { node: string; }).node;
    }

    /** Waits until all stages hold layers. */
    async waitForLayers(): Promise<void> {
        while (this.endpoints.some(endpoint => endpoint.isStage() && !endpoint.hasLayers())) {
            await sleep(pollMilliseconds);
        }
    }

    /** Starts a new process of a node on the same ports and waits until it is ready. */
    async restart(node: SoakNode): Promise<void> {
        node.process = this.startProcess(node);
        node.endingSince = undefined;
        await this.waitUntilReady(node);
    }

    /** Stops a node's process gracefully and records its exit code. */
    async terminate(node: SoakNode): Promise<void> {
        node.endingSince = Date.now();
        node.exitCodes.push(await node.process.stop(stopMilliseconds));
    }

    /** Kills a node's process with SIGKILL. */
    async kill(node: SoakNode): Promise<void> {
        node.endingSince = Date.now();
        node.process.signal("SIGKILL");
        await node.process.exited;
    }

    /** Gets if a node reports that it is ready. */
    async isReady({ ports }: SoakNode): Promise<boolean> {
        const answer = await fetchText(`http://127.0.0.1:${ports.readiness}/v1/readiness`, checkTimeoutMilliseconds);
        return answer?.status === 200;
    }

    /** Cuts or restores the links of a node to all endpoints. Has no effect on nodes that don't run from the sources. */
    setLinks({ settingsFile }: Pick<SoakNode, "settingsFile">, cut: LinkCut): void {
        const ports = this.endpoints.map(({ proxy }) => parseAddress(proxy.getAddress())!.port);
        const state: LinkState = { cut, ports };
        const file = getLinksFile(settingsFile);
        // Renamed into its place, so that the node never reads a part of it.
        writeFileSync(`${file}.new`, JSON.stringify(state));
        renameSync(`${file}.new`, file);
    }

    /** Kills all processes, including frozen ones, and closes the stand-ins and proxies. */
    async close(): Promise<void> {
        for (const node of this.nodes) {
            node.endingSince ??= Date.now();
        }
        await this.processes.killAll();
        for (const endpoint of this.endpoints) {
            await endpoint.close();
        }
        for (const { storeProxy } of this.nodes) {
            await storeProxy.close();
        }
        await this.store.close();
        rmSync(this.directory, { recursive: true });
    }

    private async startEndpoints(): Promise<void> {
        for (let index = 0; index < documentEndpoints; index += 1) {
            await this.startEndpoint(`document-${index}`, "documents", false);
        }
        for (const [index, dataCentre] of stageDataCentres.entries()) {
            await this.startEndpoint(`stage-${index}`, "model", true, dataCentre);
        }
        for (let index = 0; index < promptEndpoints; index += 1) {
            await this.startEndpoint(`prompt-${index}`, promptService, true);
        }
    }

    private async startEndpoint(
        name: string,
        service: string,
        isStage: boolean,
        dataCentre = dataCentres[0]!,
    ): Promise<void> {
        const options = { name, service, isStage, dataCentre, store: this.store };
        this.endpoints.push(await SoakEndpoint.create(options));
    }

    private async startNodes(): Promise<void> {
        const ports = await findFreePorts(portsPerNode * this.options.nodes);
        for (let index = 0; index < this.options.nodes; index += 1) {
            const [callers, readiness, peers, admin, tunnels] = ports.slice(portsPerNode * index);
            const name = `node-${index}`;
            const planned = {
                name,
                ports: { callers: callers!, readiness: readiness!, peers: peers!, admin: admin!, tunnels: tunnels! },
                storeProxy: await LoopbackProxy.create(() => this.store.getAddress()),
                settingsFile: join(this.directory, `${name}.yaml`),
                endingSince: undefined,
                isTaken: false,
                exitCodes: [],
            };
            const seeds = this.nodes.map(node => `127.0.0.1:${node.ports.peers}`);
            const boot = createBootFile({
                vm: name,
                dataCentre: dataCentres[index % dataCentres.length]!,
                ...planned.ports,
                seeds,
                store: planned.storeProxy.getAddress(),
                configurationMilliseconds: this.options.configurationMilliseconds,
            });
            writeFileSync(planned.settingsFile, boot);
            this.setLinks(planned, LinkCut.None);
            this.nodes.push({ ...planned, process: this.startProcess(planned) });
        }
        for (const node of this.nodes) {
            await this.waitUntilReady(node);
        }
    }

    private startProcess({ name, settingsFile }: { name: string; settingsFile: string; }): ChildProcess {
        const process = this.processes.startFoxlead(name, ["platform", "--settings", settingsFile]);
        void process.exited.then(code => {
            const node = this.nodes.find(other => other.process === process);
            if (node !== undefined && node.endingSince === undefined) {
                this.options.onUnexpectedEnd(name, code);
            }
        });
        return process;
    }

    private async waitUntilReady(node: SoakNode): Promise<void> {
        let hasEnded = false;
        void node.process.exited.then(() => {
            hasEnded = true;
        });
        while (node.endingSince === undefined && !await this.isReady(node)) {
            if (hasEnded) {
                const lastLine = node.process.getLines().at(-1) ?? "";
                throw new Error(`${node.name} ended before it was ready; look at its last line: ${lastLine}`);
            }
            await sleep(pollMilliseconds);
        }
    }
}
