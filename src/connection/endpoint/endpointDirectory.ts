import type { Clock } from "../../process/clock.ts";
import type { VmRecord } from "../../process/platform/vmList.ts";
import type { Configuration, EndpointConfiguration } from "../../version/configuration.ts";
import { DocumentConnection } from "../document/documentConnection.ts";
import { EndpointBelief } from "./endpointBelief.ts";
import type { EndpointObservation } from "./endpointObservation.ts";
import type { EndpointState } from "./endpointState.ts";
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

/** What the directory holds of one endpoint. */
interface EndpointEntry {
    name: string;
    configuration: EndpointConfiguration;
    belief: EndpointBelief;
    engine?: EngineConnection;
    document?: DocumentConnection;
}

/** Engines of a data centre that are probed together, at most; bounds what an outage costs the nodes and the network. */
const maximumNeighbours = 16;
/** Shortest time between two such rounds of probes of a data centre, in milliseconds. */
const neighbourProbeMilliseconds = 1_000;

/** All endpoints of the configuration in force: their connections, and what this node believes of them. */
export class EndpointDirectory {
    private readonly options: EndpointDirectoryOptions;
    private readonly entries = new Map<string, EndpointEntry>();
    private readonly namesByAddress = new Map<string, string>();
    /** When the engines of a data centre were last probed together. */
    private readonly neighboursProbedAt = new Map<string, number>();

    private constructor(options: EndpointDirectoryOptions) {
        this.options = options;
    }

    /** Creates an empty directory. */
    static create(options: EndpointDirectoryOptions): EndpointDirectory {
        return new EndpointDirectory(options);
    }

    /**
     * Takes the endpoints of a new configuration. Connections of endpoints that stay are kept; passes of requests in
     * progress end on those that go.
     */
    update(configuration: Pick<Configuration, "endpoints">): void {
        for (const entry of [...this.entries.values()]) {
            const next = configuration.endpoints[entry.name];
            if (next?.address !== entry.configuration.address || next.kind !== entry.configuration.kind) {
                this.remove(entry);
            }
        }
        for (const [name, endpoint] of Object.entries(configuration.endpoints)) {
            this.addOrChange(name, endpoint);
        }
    }

    /** Names of the endpoints of a kind. */
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
        return this.entries.get(name)?.belief.getState();
    }

    /** Gets the states of all endpoints, for operators. */
    getStates(): EndpointState[] {
        return [...this.entries.values()].map(entry => entry.belief.getState());
    }

    getEngine(name: string): EngineConnection | undefined {
        return this.entries.get(name)?.engine;
    }

    getDocument(name: string): DocumentConnection | undefined {
        return this.entries.get(name)?.document;
    }

    /** Takes an engine's own status. */
    observeStatus(name: string, status: EngineStatus): void {
        this.change(name, belief => belief.observeStatus(status));
    }

    /** Notes that an endpoint answered. */
    observeAnswer(name: string): void {
        this.change(name, belief => belief.observeAnswer(this.options.clock.getMonotonicTime()));
    }

    /**
     * Notes that no new connection to an endpoint answers. What ends one endpoint often ends its data centre, so the
     * engines in use there are probed at once, before their passes are overdue.
     */
    observeUnreachable(name: string): void {
        this.change(name, belief => belief.observeUnreachable());
        const entry = this.entries.get(name);
        if (entry?.configuration.kind === "engine") {
            this.probeNeighbours(entry.configuration.dataCentre);
        }
    }

    /** Notes that an endpoint refused new work because it is leaving. */
    observeLeavingRefusal(name: string): void {
        this.change(name, belief => belief.observeLeavingRefusal());
    }

    /** Takes what a peer has observed. */
    observePeerReport(name: string, observation: EndpointObservation): void {
        const now = this.options.clock.getMonotonicTime();
        this.change(name, belief => belief.observePeerReport(observation, now));
    }

    /** Takes the platform's list of machines, which lags. */
    observeVms(records: readonly VmRecord[]): void {
        for (const record of records) {
            const name = this.namesByAddress.get(record.address);
            if (name !== undefined) {
                this.change(name, belief => belief.observeVm(record.state));
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
        const probedAt = this.neighboursProbedAt.get(dataCentre) ?? Number.NEGATIVE_INFINITY;
        if (now - probedAt < neighbourProbeMilliseconds) {
            return;
        }
        this.neighboursProbedAt.set(dataCentre, now);
        let neighbours = 0;
        for (const { name, configuration, belief, engine } of this.entries.values()) {
            const isNeighbour = configuration.dataCentre === dataCentre && belief.getState().state !== "unreachable";
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
            this.change(name, belief => belief.observeUnreachable());
        }
    }

    private change(name: string, apply: (belief: EndpointBelief) => void): void {
        const entry = this.entries.get(name);
        if (entry === undefined) {
            return;
        }
        const before = entry.belief.getState();
        apply(entry.belief);
        const after = entry.belief.getState();
        if (before.state !== after.state) {
            this.options.onStateChanged(after);
        }
    }

    private addOrChange(name: string, configuration: EndpointConfiguration): void {
        const entry = this.entries.get(name);
        if (entry !== undefined) {
            entry.configuration = configuration;
            entry.belief.setConfiguredLayers(configuration.layers);
            return;
        }
        const belief = EndpointBelief.create(name, configuration.layers);
        const connections = this.createConnections(name, configuration);
        this.entries.set(name, { name, configuration, belief, ...connections });
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
