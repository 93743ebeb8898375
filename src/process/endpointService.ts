import { EndpointDirectory } from "../connection/endpoint/endpointDirectory.ts";
import { EndpointObserver } from "../connection/endpoint/endpointObserver.ts";
import { type EndpointReport, EndpointReports } from "../connection/endpoint/endpointReports.ts";
import type { EndpointState } from "../connection/endpoint/endpointState.ts";
import type { EngineStatus, Pass, PassResult } from "../connection/endpoint/engineProtocol.ts";
import { EndpointInstructions } from "../connection/instructions/endpointInstructions.ts";
import type { EndpointConnector } from "../connection/upstream/path/endpointConnector.ts";
import type { ChainChooser } from "../request/chain/chainChooser.ts";
import type { Configuration } from "../version/configuration.ts";
import type { EndpointRecord } from "../wire/generated/foxlead/peer/v1/peer_pb.ts";
import type { Clock } from "./clock.ts";
import type { EventLog } from "./logging/eventLog.ts";
import { events } from "./logging/events.ts";
import { getIntervalFactor } from "./membership/getIntervalFactor.ts";
import type { MembershipView } from "./membership/membershipView.ts";
import type { RendezvousOwners } from "./membership/rendezvousOwners.ts";
import type { Metrics } from "./metrics/metrics.ts";
import type { RandomSource } from "./randomSource.ts";

/** Options of an {@link EndpointService}. */
interface EndpointServiceOptions {
    nodeId: string;
    clock: Clock;
    random: RandomSource;
    log: EventLog;
    metrics: Metrics;
    /** Opens connections to the endpoints, directly or through peers. */
    connector: Pick<EndpointConnector, "open">;
    view: MembershipView;
    owners: RendezvousOwners;
    /** Gets the chooser. A function, since the chooser is created after this service. */
    getChooser(): ChainChooser;
}

const observeIntervalMilliseconds = 500;
const observersPerEndpoint = 3;
const millisecondsPerSecond = 1_000;
const endpointStates = ["serving", "leaving", "unreachable"] as const;

/** Manages the endpoints on one node: connections, polling of their load, and reports exchanged with the other nodes. */
export class EndpointService {
    readonly directory: EndpointDirectory;
    private readonly options: EndpointServiceOptions;
    private readonly observer: EndpointObserver;
    private readonly reports: EndpointReports;
    /** Whether this node observes an endpoint, cached by endpoint until the members or the endpoints change. */
    private readonly observerDuties = new Map<string, boolean>();

    private constructor(options: EndpointServiceOptions) {
        this.options = options;
        this.reports = EndpointReports.create(() => options.view.getAliveMembers().length);
        this.directory = EndpointDirectory.create({
            clock: options.clock,
            connector: options.connector,
            instructions: EndpointInstructions.create({
                clock: options.clock,
                log: options.log,
                onLeaving: () => options.metrics.endpointInstructionsTotal.inc({ instruction: "leaving" }),
                onPause: () => options.metrics.endpointInstructionsTotal.inc({ instruction: "pause" }),
            }),
            onAnswered: (endpoint, pass, result, elapsedMilliseconds) => {
                this.observeAnswer(endpoint, pass, result, elapsedMilliseconds);
            },
            onSilentConnection: endpoint => options.log.write(events.unresponsiveConnectionReplaced, { endpoint }),
            onStateChanged: state => this.handleStateChange(state),
        });
        this.observer = EndpointObserver.create({
            nodeId: options.nodeId,
            directory: this.directory,
            clock: options.clock,
            random: options.random,
            intervalMilliseconds: observeIntervalMilliseconds,
            getIntervalFactor: () => getIntervalFactor(options.view),
            isObserver: endpoint => this.isObserver(endpoint),
            onStatus: (endpoint, status) => this.observeLoad(endpoint, status),
            onReport: report => void this.reports.add(report),
        });
    }

    /** Creates the service without endpoints. */
    static create(options: EndpointServiceOptions): EndpointService {
        return new EndpointService(options);
    }

    /** Starts polling the endpoints that this node observes. */
    start(): void {
        this.observer.start();
    }

    /** Recomputes which endpoints this node observes after a change of the members. */
    updateDuties(): void {
        this.observerDuties.clear();
    }

    /** Applies the endpoints of a new configuration. */
    update(configuration: Configuration): void {
        this.directory.update(configuration);
        this.observerDuties.clear();
        for (const state of this.directory.getStates()) {
            this.setStateMetric(state);
        }
    }

    /** Gets the reports to send with one gossip message. */
    collectRecords(budgetBytes: number): EndpointReport[] {
        return this.reports.collect(budgetBytes);
    }

    /** Applies the reports that a peer has sent. */
    applyRecords(records: readonly EndpointRecord[]): void {
        for (const record of records) {
            if (this.reports.add(record)) {
                this.applyRecord(record);
            }
        }
    }

    /** Stops polling and closes all connections. */
    async close(): Promise<void> {
        this.observer.stop();
        await this.directory.close();
    }

    private applyRecord(record: EndpointRecord): void {
        const { endpoint, layers } = record;
        const state = endpointStates.find(known => known === record.state);
        if (state === undefined) {
            return;
        }
        this.directory.observePeerReport(endpoint, { state, layers });
        this.options.getChooser().observeLoad({
            endpoint,
            queue: record.queueDepth,
            sequences: record.sequences,
            freePositions: record.freeTokens,
            ageMilliseconds: Math.max(0, this.options.clock.getWallTime() - Number(record.sequence)),
        });
    }

    private observeAnswer(endpoint: string, pass: Pass, result: PassResult, elapsedMilliseconds: number): void {
        this.directory.observeAnswer(endpoint);
        this.options.metrics.passSeconds.observe(elapsedMilliseconds / millisecondsPerSecond);
        this.options.getChooser().observePass({
            endpoint,
            layers: pass.layerEnd - pass.layerStart,
            positions: result.count,
            elapsedMilliseconds,
            queue: result.queue,
        });
    }

    /** Checks if this node observes an endpoint. The result is cached, since computing it visits all members. */
    private isObserver(endpoint: string): boolean {
        const known = this.observerDuties.get(endpoint);
        if (known !== undefined) {
            return known;
        }
        const nodeIds = this.options.view.getAliveMembers().map(member => member.nodeId);
        const observers = this.options.owners.getOwners(`endpoint-${endpoint}`, nodeIds, observersPerEndpoint);
        const isObserver = observers.includes(this.options.nodeId);
        this.observerDuties.set(endpoint, isObserver);
        return isObserver;
    }

    private observeLoad(endpoint: string, status: EngineStatus): void {
        this.options.getChooser().observeLoad({
            endpoint,
            queue: status.queue,
            sequences: status.sequences,
            freePositions: status.freePositions,
            ageMilliseconds: status.loadAgeMilliseconds,
        });
    }

    private handleStateChange(state: EndpointState): void {
        this.options.log.write(events.endpointStateChanged, { endpoint: state.endpoint, state: state.state });
        this.setStateMetric(state);
    }

    private setStateMetric(state: EndpointState): void {
        const { metrics } = this.options;
        for (const known of endpointStates) {
            metrics.endpointState.set({ endpoint: state.endpoint, state: known }, known === state.state ? 1 : 0);
        }
    }
}
