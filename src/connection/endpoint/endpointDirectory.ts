import type { Clock } from "../../process/clock.ts";
import type { VmRecord } from "../../process/platform/vmList.ts";
import type { Configuration, EndpointConfiguration } from "../../version/configuration.ts";
import { DocumentConnection } from "../document/documentConnection.ts";
import type { EndpointObservation } from "./endpointObservation.ts";
import type { EndpointState } from "./endpointState.ts";
import { EndpointStateTracker } from "./endpointStateTracker.ts";
import { EngineConnection, type EngineConnectionOptions } from "./engineConnection.ts";
import type { EngineStatus } from "./engineProtocol.ts";

/** Options of an {@link EndpointDirectory}. */
interface EndpointDirectoryOptions {
    clock: Clock;
    onAnswered: EngineConnectionOptions["onAnswered"];
    onSilentConnection: EngineConnectionOptions["onSilentConnection"];
    /** Called when the state of an endpoint has changed. */
    onStateChanged(state: EndpointState): void;
}

/** Configuration, state and connections of one endpoint. */
interface EndpointEntry {
    name: string;
    configuration: EndpointConfiguration;
    tracker: EndpointStateTracker;
    engine?: EngineConnection;
    document?: DocumentConnection;
}

/** Maximum number of engines of a data centre that are probed together. Limits the load that an outage causes. */
const maximumNeighbours = 16;
/** Minimum time between two probe rounds of a data centre. */
const neighbourProbeIntervalMilliseconds = 1_000;

/** The endpoints of the current configuration, with their connections and states. */
export class EndpointDirectory {
    private readonly options: EndpointDirectoryOptions;
    private readonly entries = new Map<string, EndpointEntry>();
    private readonly namesByAddress = new Map<string, string>();
    /** Monotonic time of the last probe round of each data centre, in milliseconds. */
    private readonly neighbourProbeTimes = new Map<string, number>();

    private constructor(options: EndpointDirectoryOptions) {
        this.options = options;
    }

    /** Creates an empty directory. */
    static create(options: EndpointDirectoryOptions): EndpointDirectory {
        return new EndpointDirectory(options);
    }

    /**
     * Applies the endpoints of a new configuration. Unchanged endpoints keep their connections. Passes in progress at
     * removed endpoints fail.
     */
    update(configuration: Pick<Configuration, "endpoints">): void {
        for (const entry of [...this.entries.values()]) {
            const next = configuration.endpoints[entry.name];
            if (next?.address !== entry.configuration.address || next.kind !== entry.configuration.kind) {
                this.remove(entry);
            }
        }
        for (const [name, endpoint] of Object.entries(configuration.endpoints)) {
            this.addOrUpdate(name, endpoint);
        }
    }

    /** Gets the names of the endpoints of a kind. */
    getNames(kind: EndpointConfiguration["kind"]): string[] {
        const names: string[] = [];
        for (const entry of this.entries.values()) {
            if (entry.configuration.kind === kind) {
                names.push(entry.name);
            }
        }
        return names;
    }

    getState(name: string): EndpointState | undefined {
        return this.entries.get(name)?.tracker.getState();
    }

    /** Gets the states of all endpoints, for operators. */
    getStates(): EndpointState[] {
        return [...this.entries.values()].map(entry => entry.tracker.getState());
    }

    getEngine(name: string): EngineConnection | undefined {
        return this.entries.get(name)?.engine;
    }

    getDocument(name: string): DocumentConnection | undefined {
        return this.entries.get(name)?.document;
    }

    /** Records the status of an engine. */
    observeStatus(name: string, status: EngineStatus): void {
        this.updateState(name, tracker => tracker.observeStatus(status));
    }

    /** Records that an endpoint answered. */
    observeAnswer(name: string): void {
        this.updateState(name, tracker => tracker.observeAnswer(this.options.clock.getMonotonicTime()));
    }

    /**
     * Records that an endpoint does not answer over new connections. Outages often affect a whole data centre, so the
     * engines in use there are probed immediately, before the deadlines of their passes.
     */
    observeUnreachable(name: string): void {
        this.updateState(name, tracker => tracker.observeUnreachable());
        const entry = this.entries.get(name);
        if (entry?.configuration.kind === "engine") {
            this.probeNeighbours(entry.configuration.dataCentre);
        }
    }

    /** Records that an endpoint refused new work because it is leaving. */
    observeLeavingRefusal(name: string): void {
        this.updateState(name, tracker => tracker.observeLeavingRefusal());
    }

    /** Records the observation of a peer. */
    observePeerReport(name: string, observation: EndpointObservation): void {
        const now = this.options.clock.getMonotonicTime();
        this.updateState(name, tracker => tracker.observePeerReport(observation, now));
    }

    /** Records the VM list of the platform, which may be outdated. */
    observeVms(records: readonly VmRecord[]): void {
        for (const record of records) {
            const name = this.namesByAddress.get(record.address);
            if (name !== undefined) {
                this.updateState(name, tracker => tracker.observeVm(record.state));
            }
        }
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        for (const entry of [...this.entries.values()]) {
            await this.remove(entry);
        }
    }

    private probeNeighbours(dataCentre: string): void {
        const now = this.options.clock.getMonotonicTime();
        const probedAt = this.neighbourProbeTimes.get(dataCentre) ?? Number.NEGATIVE_INFINITY;
        if (now - probedAt < neighbourProbeIntervalMilliseconds) {
            return;
        }
        this.neighbourProbeTimes.set(dataCentre, now);
        let neighbours = 0;
        for (const { name, configuration, tracker, engine } of this.entries.values()) {
            const isNeighbour = configuration.dataCentre === dataCentre && tracker.getState().state !== "unreachable";
            if (!isNeighbour || engine?.isInUse() !== true) {
                continue;
            }
            void this.probe(name, engine);
            neighbours += 1;
            if (neighbours === maximumNeighbours) {
                return;
            }
        }
    }

    private async probe(name: string, engine: EngineConnection): Promise<void> {
        if (!await engine.isAnswering()) {
            this.updateState(name, tracker => tracker.observeUnreachable());
        }
    }

    private updateState(name: string, update: (tracker: EndpointStateTracker) => void): void {
        const entry = this.entries.get(name);
        if (entry === undefined) {
            return;
        }
        const before = entry.tracker.getState();
        update(entry.tracker);
        const after = entry.tracker.getState();
        if (before.state !== after.state) {
            this.options.onStateChanged(after);
        }
    }

    private addOrUpdate(name: string, configuration: EndpointConfiguration): void {
        const entry = this.entries.get(name);
        if (entry !== undefined) {
            entry.configuration = configuration;
            entry.tracker.setConfiguredLayers(configuration.layers);
            return;
        }
        const tracker = EndpointStateTracker.create(name, configuration.layers);
        const connections = this.createConnections(name, configuration);
        this.entries.set(name, { name, configuration, tracker, ...connections });
        this.namesByAddress.set(configuration.address, name);
    }

    private createConnections(
        endpoint: string,
        configuration: EndpointConfiguration,
    ): Pick<EndpointEntry, "engine" | "document"> {
        const { address, kind } = configuration;
        if (kind === "document") {
            return { document: DocumentConnection.create({ endpoint, address }) };
        }
        const { clock, onAnswered, onSilentConnection } = this.options;
        return { engine: EngineConnection.create({ endpoint, address, clock, onAnswered, onSilentConnection }) };
    }

    private async remove(entry: EndpointEntry): Promise<void> {
        this.entries.delete(entry.name);
        if (this.namesByAddress.get(entry.configuration.address) === entry.name) {
            this.namesByAddress.delete(entry.configuration.address);
        }
        await entry.engine?.close();
        await entry.document?.close();
    }
}
