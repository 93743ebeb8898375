import type { Clock } from "../../process/clock.ts";
import type { VmRecord } from "../../process/platform/vmList.ts";
import type { Configuration, EndpointConfiguration } from "../../version/configuration.ts";
import { DocumentConnection } from "../document/documentConnection.ts";
import type { AnswerInstructions } from "../instructions/answerInstructions.ts";
import type { EndpointInstructions } from "../instructions/endpointInstructions.ts";
import { createHttpConnector } from "../upstream/path/createHttpConnector.ts";
import type { EndpointConnector } from "../upstream/path/endpointConnector.ts";
import type { EndpointObservation } from "./endpointObservation.ts";
import type { EndpointState } from "./endpointState.ts";
import { EndpointStateTracker } from "./endpointStateTracker.ts";
import { EngineConnection, type EngineConnectionOptions } from "./engineConnection.ts";
import type { EngineStatus } from "./engineProtocol.ts";

/** Options of an {@link EndpointDirectory}. */
interface EndpointDirectoryOptions {
    clock: Clock;
    /** Opens connections to the endpoints. Default: the HTTP client does. */
    connector?: Pick<EndpointConnector, "open">;
    /** What endpoints have told this node to send or not to send them. */
    instructions: EndpointInstructions;
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

    /** Gets the name of the endpoint at an address (host:port). */
    getNameAt(address: string): string | undefined {
        return this.namesByAddress.get(address);
    }

    /** Gets the addresses of all endpoints, as host:port. */
    getAddresses(): string[] {
        return [...this.entries.values()].map(({ configuration }) => configuration.address);
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

    /** Gets the state of an endpoint, which doesn't depend on pauses. */
    getState(name: string): EndpointState | undefined {
        const entry = this.entries.get(name);
        return entry === undefined ? undefined : this.getEntryState(entry);
    }

    /** Gets the state of an endpoint for choosing where requests are sent. An endpoint that wants no requests now is `paused`. */
    getStateForRequests(name: string): EndpointState | undefined {
        const state = this.getState(name);
        const isPaused = state !== undefined && state.state !== "leaving" && !this.options.instructions.maySend(name);
        return isPaused ? { ...state, state: "paused" } : state;
    }

    /** Gets the states of all endpoints, for operators. They don't depend on pauses. */
    getStates(): EndpointState[] {
        return [...this.entries.values()].map(entry => this.getEntryState(entry));
    }

    /** Gets the time in milliseconds until the first pause of some endpoints ends; undefined if none is paused. */
    getPauseMilliseconds(names: Iterable<string>): number | undefined {
        const [firstEnd] = this.options.instructions.listPauseEnds(names);
        return firstEnd === undefined ? undefined : firstEnd - this.options.clock.getMonotonicTime();
    }

    getEngine(name: string): EngineConnection | undefined {
        return this.entries.get(name)?.engine;
    }

    getDocument(name: string): DocumentConnection | undefined {
        return this.entries.get(name)?.document;
    }

    /**
     * Records the status of an engine.
     * @param requestedAt - Monotonic time in milliseconds at which the status was requested.
     */
    observeStatus(name: string, status: EngineStatus, requestedAt: number): void {
        this.updateState(name, tracker => {
            tracker.observeStatus(status);
            if (!status.leaving) {
                this.options.instructions.endLeaving(name, requestedAt);
            }
        });
    }

    /** Records the instructions of an endpoint's answer. They bind this node whatever peers report. */
    observeInstructions(name: string, instructions: AnswerInstructions): void {
        this.updateState(name, () => {
            this.options.instructions.noteAnswer({ endpointId: name, instructions, answerTo: "call" });
        });
    }

    /** Records that no process listens at an endpoint's address: the process that gave instructions has ended. */
    observeConnectionRefused(name: string): void {
        this.updateState(name, tracker => {
            this.options.instructions.forget(name);
            tracker.observeUnreachable();
        });
    }

    /** Removes instructions that have ended. A missed restart of a leaving endpoint is made up for after some minutes. */
    removeEndedInstructions(): void {
        this.options.instructions.retain(new Set());
    }

    /** Checks if an endpoint has announced to this node that it is leaving. */
    hasAnnouncedLeaving(name: string): boolean {
        return this.options.instructions.isLeaving(name);
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

    /** Records that an endpoint refused new work because it is leaving. Like any announcement, this outweighs what peers report. */
    observeLeavingRefusal(name: string): void {
        this.observeInstructions(name, { isLeaving: true, pauseMilliseconds: undefined });
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
        const before = this.getEntryState(entry);
        update(entry.tracker);
        const after = this.getEntryState(entry);
        if (before.state !== after.state) {
            this.options.onStateChanged(after);
        }
    }

    private getEntryState({ name, tracker }: EndpointEntry): EndpointState {
        const state = tracker.getState();
        return this.options.instructions.isLeaving(name) ? { ...state, state: "leaving" } : state;
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
        const { connector } = this.options;
        const common = {
            endpoint,
            address,
            connect: connector && createHttpConnector(connector, address),
            onInstructions: (name: string, instructions: AnswerInstructions) =>
                this.observeInstructions(name, instructions),
            onConnectionRefused: (name: string) => this.observeConnectionRefused(name),
        };
        if (kind === "document") {
            return { document: DocumentConnection.create(common) };
        }
        const { clock, onAnswered, onSilentConnection, instructions } = this.options;
        const isPaused = (name: string) => !instructions.isLeaving(name) && !instructions.maySend(name);
        const options = { ...common, clock, onAnswered, onSilentConnection, isPaused };
        return { engine: EngineConnection.create(options) };
    }

    private async remove(entry: EndpointEntry): Promise<void> {
        this.entries.delete(entry.name);
        this.options.instructions.forget(entry.name);
        if (this.namesByAddress.get(entry.configuration.address) === entry.name) {
            this.namesByAddress.delete(entry.configuration.address);
        }
        await entry.engine?.close();
        await entry.document?.close();
    }
}
