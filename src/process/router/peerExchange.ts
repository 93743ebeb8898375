import { create } from "@bufbuild/protobuf";
import {
    type ExchangeRequest,
    ExchangeRequestSchema,
    type ExchangeResponse,
    ExchangeResponseSchema,
    type FetchRequest,
    type FetchResponse,
    type LeaseRelease as WireRelease,
    LeaseReleaseSchema,
    type NodeRecord,
    NodeRecordSchema,
    type NodeState,
    NodeStateSchema,
} from "../../wire/generated/foxlead/router/v1/router_pb.ts";
import type { Clock, TimerHandle } from "../clock.ts";
import type { FencedLease } from "../leases/fencedLease.ts";
import type { LeaseRelease } from "../leases/leaseRelease.ts";
import type { EventLog } from "../logging/eventLog.ts";
import type { RendezvousOwners } from "../membership/rendezvousOwners.ts";
import type { RandomSource } from "../randomSource.ts";
import type { RecordSection } from "../replica/recordSection.ts";
import { ChangeFetching } from "./changeFetching.ts";
import { choosePartners } from "./choosePartners.ts";
import type { KnownNode } from "./knownNode.ts";
import { listNewsSources } from "./listNewsSources.ts";
import { mostAcquainted } from "./mostAcquainted.ts";
import type { NodeTable } from "./nodeTable.ts";
import type { PeerState } from "./peerState.ts";
import { RouterPeers } from "./routerPeers.ts";
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
    /** Assigns duties to nodes. */
    owners: RendezvousOwners;
    sections: readonly RecordSection[];
    state: PeerState;
    /** Whether this node's requests contend with those of others for room. */
    isBusy(): boolean;
    clock: Clock;
    random: RandomSource;
    log: EventLog;
}

const roundMilliseconds = 300;
/**
 * Of many nodes each hears news in two steps of at most two of these rounds, within the time after which it would follow the store
 * by itself.
 */
const longRoundMilliseconds = 450;
/** News is passed on at once, but not by more rounds than this allows. */
const newsMilliseconds = 100;
/** Each message tells of some nodes only; in a few rounds each node hears of all. */
const fewestNodesOfMessage = 10;
/** Of many nodes a message tells this part, so that each is heard of several times before it would be taken as gone. */
const nodesPart = 1 / 8;
/** A peer that knows of less than this part of the nodes has just started and is told of so many at once. */
const strangerPart = 0.5;
const nodesOfStranger = 400;
const longestAge = 0xffff_ffff;
const callTimeoutMilliseconds = 600;
/** A seed that is not known as a live node is tried once in so many rounds. */
const roundsOfSeed = 4;

/** Tells some peers of this node's state in each round, learns theirs, and fetches what it has missed of the store. */
export class PeerExchange {
    private readonly options: PeerExchangeOptions;
    private readonly peers: RouterPeers;
    private readonly fetching: ChangeFetching;
    private timer: TimerHandle | undefined;
    private round = 0;
    private lastRoundAt = -Infinity;
    private isStopped = false;

    private constructor(options: PeerExchangeOptions) {
        this.options = options;
        const { sections, dataCentre, clock, log, following } = options;
        this.peers = RouterPeers.create(log, clock);
        this.fetching = ChangeFetching.create({
            sections,
            dataCentre,
            peers: this.peers,
            clock,
            log,
            isHub: () => this.listSources().isHub,
            onFresh: freshAt => following.notePeerFresh(freshAt),
            onNews: () => this.tellNews(),
        });
    }

    /** Creates an exchange that does nothing before {@link start}. */
    static create(options: PeerExchangeOptions): PeerExchange {
        return new PeerExchange(options);
    }

    /** Begins the rounds. */
    start(): void {
        this.runRound();
    }

    /** Ends the rounds and closes the connections. */
    stop(): void {
        this.isStopped = true;
        this.timer?.cancel();
        this.peers.close();
    }

    /** Passes on at once what this node has just learnt of the store. */
    tellNews(): void {
        const wait = Math.max(0, this.lastRoundAt + newsMilliseconds - this.getTime());
        this.timer?.cancel();
        this.timer = this.options.clock.setTimer(wait, () => this.runRound());
    }

    private runRound(): void {
        if (this.isStopped) {
            return;
        }
        this.timer?.cancel();
        this.round += 1;
        this.lastRoundAt = this.getTime();
        for (const address of this.choosePartners()) {
            void this.exchange(address);
        }
        const delay = this.getRoundTime() * (0.8 + 0.4 * this.options.random());
        this.timer = this.options.clock.setTimer(delay, () => this.runRound());
    }

    private getRoundTime(): number {
        return this.listLive().length < mostAcquainted ? roundMilliseconds : longRoundMilliseconds;
    }

    private listLive(): KnownNode[] {
        return this.options.nodes.getLiveNodes(this.getTime());
    }

    private listSources() {
        const { nodeId, dataCentre, following, owners } = this.options;
        const isWithoutStore = following.isWithoutStore();
        return listNewsSources({ nodeId, dataCentre, isWithoutStore }, this.listLive(), owners);
    }

    private choosePartners(): string[] {
        const { nodeId, dataCentre, random, seeds, address, isBusy } = this.options;
        const known = this.listLive();
        const nodes = this.listPartners(known);
        const { isHub, addresses } = this.listSources();
        const sources = addresses.filter(source => !this.peers.isUnreachable(source));
        const partners = choosePartners({
            nodeId,
            dataCentre,
            nodes,
            sources,
            isHub,
            round: this.round,
            isBusy: isBusy(),
            random,
        });
        this.addUnreachable(partners, known);
        const isSeedTurn = known.length === 0 || this.round % roundsOfSeed === 0;
        for (const seed of isSeedTurn ? seeds : []) {
            if (seed !== address && !known.some(node => node.address === seed)) {
                partners.add(seed);
            }
        }
        return [...partners];
    }

    /**
     * Of many nodes, those that did not answer are left out. Few speak by pairs of which one calls, which holds only where all have
     * the same nodes in view: else pairs fall silent while nodes restart in turn, and room is shared out from stale loads.
     */
    private listPartners(known: readonly KnownNode[]): readonly KnownNode[] {
        return known.length < mostAcquainted
            ? known
            : known.filter(node => !this.peers.isUnreachable(node.address));
    }

    /** Tries one of the peers again that did not answer; else nobody would learn that it does. */
    private addUnreachable(partners: Set<string>, known: readonly KnownNode[]): void {
        const silent = known.filter(node => this.peers.isUnreachable(node.address));
        const node = silent[Math.floor(this.options.random() * silent.length)];
        if (node !== undefined) {
            partners.add(node.address);
        }
    }

    private async exchange(address: string): Promise<void> {
        if (this.peers.getCallCount(address) > 0) {
            return;
        }
        const sentAt = this.getTime();
        const state = this.createOwnState();
        const response = await this.peers.call(
            address,
            client => client.exchange(create(ExchangeRequestSchema, { state }), { timeoutMs: callTimeoutMilliseconds }),
        );
        if (response !== undefined) {
            this.takeResponse(response, sentAt);
        }
    }

    /** Creates what every message says of this node, in either direction. */
    private createOwnState(knownToPeer?: number): NodeState {
        const { state, sections, following, lease } = this.options;
        const live = this.listLive();
        return create(NodeStateSchema, {
            sender: this.createOwnRecord(),
            nodes: this.createNodeRecords(live, knownToPeer),
            knownNodes: live.length + 1,
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
        const { sender, frontiers, storeFailureAge, leaseRelease } = state;
        this.takeNodes(state);
        for (const { section, revision } of frontiers) {
            following.notePeerFrontier(section, Number(revision));
        }
        if (sender !== undefined) {
            this.fetching.noteFrontiers({ address: sender.address, dataCentre: sender.dataCentre, frontiers });
        }
        this.options.state.takeRecords(state, this.getTime());
        if (storeFailureAge < longestAge) {
            following.notePeerFailure(this.getTime() - storeFailureAge);
        }
        if (leaseRelease !== undefined) {
            const { revision, fencingNumber } = leaseRelease;
            lease.noteRelease({ revision: Number(revision), fencingNumber: Number(fencingNumber) });
        }
    }

    /** Takes in a peer's state and tells it this node's. */
    answer({ state = create(NodeStateSchema) }: ExchangeRequest): ExchangeResponse {
        this.takeState(state);
        return create(ExchangeResponseSchema, { state: this.createOwnState(state.knownNodes) });
    }

    /** Gets what a peer has missed of the store. */
    answerFetch(request: FetchRequest): FetchResponse {
        return this.fetching.answer(request, this.getAge(this.options.following.getFreshTime()));
    }

    private takeResponse({ state }: ExchangeResponse, sentAt: number): void {
        if (state === undefined) {
            return;
        }
        this.takeState(state);
        if (state.freshAge < longestAge && this.fetching.hasAll(state.frontiers)) {
            this.options.following.notePeerFresh(sentAt - state.freshAge);
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

    private createNodeRecords(live: readonly KnownNode[], knownToPeer = Infinity): NodeRecord[] {
        const { random } = this.options;
        const now = this.getTime();
        const isStranger = knownToPeer < live.length * strangerPart;
        const usual = Math.max(fewestNodesOfMessage, Math.ceil(live.length * nodesPart));
        const first = Math.floor(random() * live.length);
        const told = [...live.slice(first), ...live.slice(0, first)].slice(0, isStranger ? nodesOfStranger : usual);
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
