import { create } from "@bufbuild/protobuf";
import type { ConnectRouter } from "@connectrpc/connect";
import { PeerConnection } from "../../connection/peer/peerConnection.ts";
import { toPeerError } from "../../connection/peer/toPeerError.ts";
import {
    type ExchangeRequest,
    ExchangeRequestSchema,
    type ExchangeResponse,
    ExchangeResponseSchema,
    type LeaseRelease as WireRelease,
    LeaseReleaseSchema,
    type NodeRecord,
    NodeRecordSchema,
    type NodeState,
    NodeStateSchema,
    RouterService,
} from "../../wire/generated/foxlead/router/v1/router_pb.ts";
import type { Clock, TimerHandle } from "../clock.ts";
import type { FencedLease } from "../leases/fencedLease.ts";
import type { LeaseRelease } from "../leases/leaseRelease.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import type { RandomSource } from "../randomSource.ts";
import type { RecordSection } from "../replica/recordSection.ts";
import { choosePartners } from "./choosePartners.ts";
import type { NodeTable } from "./nodeTable.ts";
import type { PeerState } from "./peerState.ts";
import type { StoreFollowing } from "./storeFollowing.ts";

/** Options of {@link PeerExchange}. */
interface PeerExchangeOptions {
    nodeId: string;
    /** host:port of this node's peer listener. */
    address: string;
    dataCentre: string;
    /** What this node knows of the store's state, and hears of it from peers. */
    following: StoreFollowing;
    /** Right to place layers; peers pass the word on that it was given up. */
    lease: Pick<FencedLease, "getNewestRelease" | "noteRelease">;
    /** Addresses of some nodes to begin with; they may be stale or down. */
    seeds: readonly string[];
    nodes: NodeTable;
    sections: readonly RecordSection[];
    state: PeerState;
    /** Whether this node's requests contend with those of others for room. */
    isBusy(): boolean;
    clock: Clock;
    random: RandomSource;
    log: EventLog;
}

const roundMilliseconds = 300;
/** Each message tells of some nodes only; in a few rounds each node hears of all. */
const nodesOfMessage = 10;
const longestAge = 0xffff_ffff;
const callTimeoutMilliseconds = 600;
/** A seed that is not known as a live node is tried once in so many rounds. */
const roundsOfSeed = 4;

type RouterPeer = PeerConnection<typeof RouterService>;

/** Tells some peers of this node's state in each round, and learns theirs and what it has missed of the store. */
export class PeerExchange {
    private readonly options: PeerExchangeOptions;
    private readonly connections = new Map<string, RouterPeer>();
    private readonly unreachable = new Set<string>();
    private timer: TimerHandle | undefined;
    private round = 0;
    private isStopped = false;

    private constructor(options: PeerExchangeOptions) {
        this.options = options;
    }

    /** Creates an exchange that does nothing before {@link start}. */
    static create(options: PeerExchangeOptions): PeerExchange {
        return new PeerExchange(options);
    }

    /** Adds the service that peers call. */
    registerRoutes(router: ConnectRouter): void {
        router.service(RouterService, { exchange: request => this.answer(request) });
    }

    /** Begins the rounds. */
    start(): void {
        this.runRound();
    }

    /** Ends the rounds and closes the connections. */
    stop(): void {
        this.isStopped = true;
        this.timer?.cancel();
        for (const connection of this.connections.values()) {
            connection.close();
        }
        this.connections.clear();
    }

    private runRound(): void {
        if (this.isStopped) {
            return;
        }
        this.round += 1;
        for (const address of this.choosePartners()) {
            void this.exchange(address);
        }
        const delay = roundMilliseconds * (0.8 + 0.4 * this.options.random());
        this.timer = this.options.clock.setTimer(delay, () => this.runRound());
    }

    private choosePartners(): string[] {
        const { nodeId, dataCentre, nodes, clock, random, seeds, address, isBusy } = this.options;
        const known = nodes.getLiveNodes(clock.getMonotonicTime());
        const live = known.map(node => node.address);
        const partners = choosePartners({ nodeId, dataCentre, nodes: known, isBusy: isBusy(), random });
        const isSeedTurn = live.length === 0 || this.round % roundsOfSeed === 0;
        for (const seed of isSeedTurn ? seeds : []) {
            if (seed !== address && !live.includes(seed)) {
                partners.add(seed);
            }
        }
        return [...partners];
    }

    private async exchange(address: string): Promise<void> {
        const connection = this.getConnection(address);
        if (connection.getCallCount() > 0) {
            return;
        }
        const sentAt = this.getTime();
        try {
            const response = await connection.run(client =>
                client.exchange(create(ExchangeRequestSchema, { state: this.createOwnState() }), {
                    timeoutMs: callTimeoutMilliseconds,
                })
            );
            this.noteReachable(address);
            this.takeResponse(response, sentAt);
        }
        catch (reason) {
            this.drop(address, connection);
            if (!this.isStopped && !this.unreachable.has(address)) {
                this.unreachable.add(address);
                const { kind, message } = toPeerError(reason, address);
                this.options.log.write(events.routerPeerLost, { address, kind, reason: message });
            }
        }
    }

    private noteReachable(address: string): void {
        if (this.unreachable.delete(address)) {
            this.options.log.write(events.routerPeerRegained, { address });
        }
    }

    /** Creates what every message says of this node, in either direction. */
    private createOwnState(): NodeState {
        const { state, sections, following, lease } = this.options;
        return create(NodeStateSchema, {
            sender: this.createOwnRecord(),
            nodes: this.createNodeRecords(),
            ...state.createRecords(this.getTime()),
            frontiers: sections.map(section => ({ section: section.name, revision: BigInt(section.getFrontier()) })),
            storeFailureAge: this.getAge(following.getLastFailure()),
            freshAge: this.getAge(following.getFreshTime()),
            leaseRelease: encodeRelease(lease.getNewestRelease()),
        });
    }

    private getAge(at: number): number {
        return Math.max(0, Math.min(longestAge, Math.round(this.getTime() - at)));
    }

    private takeState(state: NodeState): void {
        const { following, lease } = this.options;
        const { storeFailureAge, leaseRelease } = state;
        this.takeNodes(state);
        this.options.state.takeRecords(state, this.getTime());
        if (storeFailureAge < longestAge) {
            following.notePeerFailure(this.getTime() - storeFailureAge);
        }
        if (leaseRelease !== undefined) {
            const { revision, fencingNumber } = leaseRelease;
            lease.noteRelease({ revision: Number(revision), fencingNumber: Number(fencingNumber) });
        }
    }

    private async answer({ state = create(NodeStateSchema) }: ExchangeRequest): Promise<ExchangeResponse> {
        const { sections, following } = this.options;
        this.takeState(state);
        const changes = [];
        for (const { section: name, revision } of state.frontiers) {
            following.notePeerFrontier(name, Number(revision));
            const section = sections.find(candidate => candidate.name === name);
            const missing = section?.getChangesSince(Number(revision));
            if (missing !== undefined) {
                const records = missing.records.map(({ key, revision: at, text }) => ({
                    key,
                    revision: BigInt(at),
                    isDeleted: text === undefined,
                    text: text ?? "",
                }));
                changes.push({ section: name, frontier: BigInt(missing.frontier), isWhole: missing.isWhole, records });
            }
        }
        return create(ExchangeResponseSchema, { state: this.createOwnState(), changes });
    }

    private takeResponse({ state, changes }: ExchangeResponse, sentAt: number): void {
        const { sections, following } = this.options;
        if (state === undefined) {
            return;
        }
        this.takeState(state);
        for (const { section: name, frontier, isWhole, records } of changes) {
            const section = sections.find(candidate => candidate.name === name);
            const decoded = records.map(({ key, revision, isDeleted, text }) => ({
                key,
                revision: Number(revision),
                text: isDeleted ? undefined : text,
            }));
            if (isWhole) {
                section?.applyListing(decoded, Number(frontier), "peer");
            }
            else {
                section?.applyChanges(decoded, Number(frontier), "peer");
            }
        }
        for (const { section, revision } of state.frontiers) {
            following.notePeerFrontier(section, Number(revision));
        }
        // The changes of the answer have been taken in, so that this copy is as current as the peer's was.
        if (state.freshAge < longestAge) {
            following.notePeerFresh(sentAt - state.freshAge);
        }
    }

    private takeNodes({ sender, nodes }: NodeState): void {
        const now = this.getTime();
        for (const record of sender === undefined ? nodes : [sender, ...nodes]) {
            const { nodeId, address, dataCentre, age, isWithoutStore } = record;
            this.options.nodes.note({ nodeId, address, dataCentre, isWithoutStore, heardAt: now - age });
        }
    }

    private createOwnRecord(): NodeRecord {
        const { nodeId, address, dataCentre, following } = this.options;
        const isWithoutStore = following.isWithoutStore();
        return create(NodeRecordSchema, { nodeId, address, dataCentre, age: 0, isWithoutStore });
    }

    private createNodeRecords(): NodeRecord[] {
        const { nodes, random } = this.options;
        const now = this.getTime();
        const live = nodes.getLiveNodes(now);
        const first = Math.floor(random() * live.length);
        const told = [...live.slice(first), ...live.slice(0, first)].slice(0, nodesOfMessage);
        return told.map(({ nodeId, address, dataCentre, isWithoutStore, heardAt }) =>
            create(NodeRecordSchema, {
                nodeId,
                address,
                dataCentre,
                isWithoutStore,
                age: Math.max(0, Math.round(now - heardAt)),
            })
        );
    }

    private getConnection(address: string): RouterPeer {
        const known = this.connections.get(address);
        if (known !== undefined) {
            return known;
        }
        const connection = PeerConnection.create({
            service: RouterService,
            address,
            connectTimeoutMilliseconds: callTimeoutMilliseconds,
            pingIntervalMilliseconds: 60_000,
            pingTimeoutMilliseconds: callTimeoutMilliseconds,
            idleTimeoutMilliseconds: 60_000,
        });
        this.connections.set(address, connection);
        return connection;
    }

    /** A connection that failed once may have gone silent for good; the next call opens another. */
    private drop(address: string, connection: RouterPeer): void {
        connection.retire();
        connection.close();
        if (this.connections.get(address) === connection) {
            this.connections.delete(address);
        }
    }

    private getTime(): number {
        return this.options.clock.getMonotonicTime();
    }
}

function encodeRelease(release: LeaseRelease | undefined): WireRelease | undefined {
    return release && create(LeaseReleaseSchema, {
        revision: BigInt(release.revision),
        fencingNumber: BigInt(release.fencingNumber),
    });
}
