import { create, type MessageInitShape } from "@bufbuild/protobuf";
import {
    type ExchangeRequest,
    type ExchangeRequestSchema,
    type ExchangeResponse,
    type ExchangeResponseSchema,
    type FetchRequest,
    type FetchResponse,
    type NodeRecordSchema,
    type NodeState,
    NodeStateSchema,
} from "../../wire/generated/foxlead/router/v1/router_pb.ts";
import type { Clock, TimerHandle } from "../clock.ts";
import type { FencedLease } from "../leases/fencedLease.ts";
import type { LeaseRelease } from "../leases/leaseRelease.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { ProcessorAccount } from "../loop/processorAccount.ts";
import { ProcessorCause } from "../loop/processorCause.ts";
import type { RendezvousOwners } from "../membership/rendezvousOwners.ts";
import type { OverloadProtection } from "../overload/overloadProtection.ts";
import type { RandomSource } from "../randomSource.ts";
import type { RecordSection } from "../replica/recordSection.ts";
import { ChangeFetcher } from "./changeFetcher.ts";
import { choosePartners } from "./choosePartners.ts";
import type { CopyProof } from "./copyProof.ts";
import type { EndpointLinks } from "./endpointLinks.ts";
import type { KnownNode } from "./knownNode.ts";
import { listDistributors } from "./listDistributors.ts";
import { listUpdateSources } from "./listUpdateSources.ts";
import { maximumFullMeshNodes } from "./maximumFullMeshNodes.ts";
import type { NodeTable } from "./nodeTable.ts";
import type { PeerState } from "./peerState.ts";
import { RouterPeers } from "./routerPeers.ts";
import type { StoreWatchController } from "./storeWatchController.ts";

/** Options of {@link PeerExchange}. */
interface PeerExchangeOptions {
    nodeId: string;
    /** Address of this node's peer listener, as host:port. */
    address: string;
    dataCentre: string;
    /** What this node tells about its links to the endpoints. */
    links: Pick<EndpointLinks, "getTunnelAddress" | "getUnreachableFraction">;
    /** Tracks the store's state, as seen by this node and reported by peers. */
    storeWatch: StoreWatchController;
    /** Knows how current this node's copy of the store is. */
    proof: CopyProof;
    /** Lease for placing layers; peers pass on that it was released. */
    lease: Pick<FencedLease, "getNewestRelease" | "noteRelease">;
    /** Addresses of the initial nodes; they may be stale or down. */
    seeds: readonly string[];
    nodes: NodeTable;
    /** Assigns duties to nodes. */
    owners: Pick<RendezvousOwners, "getOwners">;
    sections: readonly RecordSection[];
    state: PeerState;
    /** Whether this node's requests compete with those of other nodes for endpoint capacity. */
    isBusy(): boolean;
    /** Reviewed in each round. */
    overload: Pick<OverloadProtection, "review" | "getLag" | "getExchangeIntervalFactor">;
    /** Whether this node tells the load balancer that it is ready. */
    isReady(): boolean;
    clock: Clock;
    random: RandomSource;
    log: EventLog;
}

/** Interval between rounds in small deployments. */
const roundMilliseconds = 300;
/**
 * Interval in large deployments. An update reaches each node in two hops of at most two of these rounds each, before the node
 * would watch the store itself.
 */
const largeRoundMilliseconds = 450;
/** Minimum interval between rounds. A new update starts a round immediately, but not sooner than this. */
const minimumRoundMilliseconds = 100;
/** Minimum number of other nodes in a message. A message holds only some; over a few rounds each node gets all. */
const minimumNodesPerMessage = 10;
/** Fraction of the nodes in a message of a large deployment, so that each is seen several times before it would expire. */
const nodesPerMessageFraction = 1 / 8;
/** A peer that knows less than this fraction of the nodes has just started, and gets more of them in one message. */
const newcomerFraction = 0.5;
/** Maximum number of other nodes in a message to such a peer. */
const nodesPerNewcomerMessage = 400;
/** Largest age that the message can hold (uint32); also stands for an unknown age. */
const maximumAgeMilliseconds = 0xffff_ffff;
const callTimeoutMilliseconds = 600;
const percent = 100;
/** A seed that is not known as a live node is called once in this many rounds. */
const roundsPerSeedCall = 4;

/** What a node sends of itself. */
type OwnState = Exclude<MessageInitShape<typeof NodeStateSchema>, NodeState>;
type OwnNodeRecord = MessageInitShape<typeof NodeRecordSchema>;

/** Exchanges state with some peers in each round, and fetches missing changes of the store from them. */
export class PeerExchange {
    private readonly options: PeerExchangeOptions;
    private readonly peers: RouterPeers;
    private readonly fetching: ChangeFetcher;
    private timer: TimerHandle | undefined;
    private round = 0;
    private lastRoundAt = -Infinity;
    private isStopped = false;

    private constructor(options: PeerExchangeOptions) {
        this.options = options;
        const { sections, dataCentre, clock, log, proof } = options;
        this.peers = RouterPeers.create(log, clock);
        this.fetching = ChangeFetcher.create({
            sections,
            dataCentre,
            peers: this.peers,
            clock,
            log,
            isDistributor: () => this.listSources().isDistributor,
            onFresh: freshAt => proof.recordPeerTime(freshAt),
            onUpdate: () => this.propagateUpdate(),
        });
    }

    /** Creates an exchange, which does nothing before {@link start}. */
    static create(options: PeerExchangeOptions): PeerExchange {
        return new PeerExchange(options);
    }

    /** Starts the rounds. */
    start(): void {
        this.runRound();
    }

    /** Stops the rounds and closes the connections. */
    stop(): void {
        this.isStopped = true;
        this.timer?.cancel();
        this.peers.close();
    }

    /** Schedules a round to pass on a new update without waiting for the next interval. */
    propagateUpdate(): void {
        const wait = Math.max(0, this.lastRoundAt + minimumRoundMilliseconds - this.getTime());
        this.timer?.cancel();
        this.timer = this.options.clock.setTimer(wait, () => this.runRound());
    }

    /**
     * Tells the nodes from which all others get updates that this node's copy has changed. Otherwise each of them would ask for
     * changes of one node in a round, and only this one has them if the others' waiting calls were lost.
     */
    announceMissedChanges(): void {
        const { nodeId, dataCentre, storeWatch, owners } = this.options;
        const own = { nodeId, dataCentre, isWithoutStore: storeWatch.isWithoutStore() };
        this.exchangeWith(listDistributors(own, this.listLive(), owners));
    }

    private runRound(): void {
        if (this.isStopped) {
            return;
        }
        this.timer?.cancel();
        this.options.overload.review();
        this.round += 1;
        this.lastRoundAt = this.getTime();
        this.exchangeWith(this.choosePartners());
        const delay = this.getRoundInterval() * (0.8 + 0.4 * this.options.random());
        this.timer = this.options.clock.setTimer(delay, () => this.runRound());
    }

    private getRoundInterval(): number {
        const interval = this.listLive().length < maximumFullMeshNodes ? roundMilliseconds : largeRoundMilliseconds;
        return interval * this.options.overload.getExchangeIntervalFactor();
    }

    private listLive(): KnownNode[] {
        return this.options.nodes.getLiveNodes(this.getTime());
    }

    private listSources() {
        const { nodeId, dataCentre, storeWatch, owners } = this.options;
        const isWithoutStore = storeWatch.isWithoutStore();
        return listUpdateSources({ nodeId, dataCentre, isWithoutStore }, this.listLive(), owners);
    }

    private choosePartners(): string[] {
        const { nodeId, dataCentre, random, seeds, address, isBusy, proof } = this.options;
        const live = this.listLive();
        const nodes = this.listPartnerCandidates(live);
        const { isDistributor, addresses } = this.listSources();
        const sources = addresses.filter(source => this.isIdle(source));
        const partners = choosePartners({
            nodeId,
            dataCentre,
            nodes,
            sources,
            isDistributor,
            round: this.round,
            isProofDue: proof.isRequestDue(isDistributor),
            isBusy: isBusy(),
            random,
        });
        this.addUnreachablePeer(partners, live);
        const isSeedRound = live.length === 0 || this.round % roundsPerSeedCall === 0;
        for (const seed of isSeedRound ? seeds : []) {
            if (seed !== address && !live.some(node => node.address === seed)) {
                partners.add(seed);
            }
        }
        return [...partners];
    }

    /** Checks if a source answers, as far as known. One that has not answered yet may stand still. */
    private isIdle(source: string): boolean {
        return !this.peers.isUnreachable(source) && this.peers.getCallCount(source) === 0;
    }

    /**
     * Excludes unreachable nodes, but only in large deployments. In small ones, one node of each pair calls the other, which
     * requires that all see the same nodes. Otherwise some pairs stop exchanging state while nodes restart in turn, and endpoint
     * capacity is shared based on stale loads.
     */
    private listPartnerCandidates(live: readonly KnownNode[]): readonly KnownNode[] {
        return live.length < maximumFullMeshNodes
            ? live
            : live.filter(node => !this.peers.isUnreachable(node.address));
    }

    /** Adds one random unreachable peer, since otherwise no node would detect that it answers again. */
    private addUnreachablePeer(partners: Set<string>, live: readonly KnownNode[]): void {
        const unreachable = live.filter(node => this.peers.isUnreachable(node.address));
        const node = unreachable[Math.floor(this.options.random() * unreachable.length)];
        if (node !== undefined) {
            partners.add(node.address);
        }
    }

    /** Sends this node's state to peers, except those that have not answered yet. All get the same message, which is built once. */
    private exchangeWith(addresses: readonly string[]): void {
        const idle = addresses.filter(address => this.peers.getCallCount(address) === 0);
        if (idle.length === 0) {
            return;
        }
        const request = { state: this.createOwnState() };
        for (const address of idle) {
            void this.exchange(address, request);
        }
    }

    private async exchange(address: string, request: MessageInitShape<typeof ExchangeRequestSchema>): Promise<void> {
        const sentAt = this.getTime();
        const response = await this.peers.call(
            address,
            client => client.exchange(request, { timeoutMs: callTimeoutMilliseconds }),
        );
        if (response !== undefined) {
            ProcessorAccount.ofProcess.run(ProcessorCause.PeerApply, () => this.applyResponse(response, sentAt));
        }
    }

    /** Creates the state of this node for a request or a response. */
    private createOwnState(knownToPeer?: number): OwnState {
        return ProcessorAccount.ofProcess.run(ProcessorCause.PeerBuild, () => this.buildOwnState(knownToPeer));
    }

    private buildOwnState(knownToPeer: number | undefined): OwnState {
        const { state, storeWatch, proof, lease } = this.options;
        const live = this.listLive();
        return {
            ...state.createRecords(this.getTime()),
            sender: this.createOwnRecord(),
            nodes: this.createNodeRecords(live, knownToPeer),
            knownNodes: live.length + 1,
            frontiers: this.fetching.getFrontiers(),
            storeFailureAge: this.getAge(storeWatch.getLastFailure()),
            freshAge: this.getAge(proof.getTime()),
            leaseRelease: encodeRelease(lease.getNewestRelease()),
        };
    }

    private getAge(at: number): number {
        return Math.max(0, Math.min(maximumAgeMilliseconds, Math.round(this.getTime() - at)));
    }

    private applyState(state: NodeState): void {
        const { storeWatch, lease } = this.options;
        const { sender, frontiers, storeFailureAge, leaseRelease } = state;
        this.applyNodes(state);
        for (const { section, revision } of frontiers) {
            storeWatch.handlePeerFrontier(section, Number(revision));
        }
        if (sender !== undefined) {
            this.fetching.handlePeerFrontiers({ address: sender.address, dataCentre: sender.dataCentre, frontiers });
        }
        this.options.state.applyRecords(state, this.getTime());
        if (storeFailureAge < maximumAgeMilliseconds) {
            storeWatch.recordPeerFailure(this.getTime() - storeFailureAge);
        }
        if (leaseRelease !== undefined) {
            const { revision, fencingNumber } = leaseRelease;
            lease.noteRelease({ revision: Number(revision), fencingNumber: Number(fencingNumber) });
        }
    }

    /** Applies a peer's state and responds with the state of this node. */
    handleExchange(
        { state = create(NodeStateSchema) }: ExchangeRequest,
    ): MessageInitShape<typeof ExchangeResponseSchema> {
        ProcessorAccount.ofProcess.run(ProcessorCause.PeerApply, () => this.applyState(state));
        return { state: this.createOwnState(state.knownNodes) };
    }

    /** Responds with the store changes that a peer lacks. */
    handleFetch(request: FetchRequest): FetchResponse {
        return ProcessorAccount.ofProcess.run(
            ProcessorCause.PeerBuild,
            () => this.fetching.createResponse(request, this.getAge(this.options.proof.getTime())),
        );
    }

    private applyResponse({ state }: ExchangeResponse, sentAt: number): void {
        if (state === undefined) {
            return;
        }
        this.applyState(state);
        if (state.freshAge < maximumAgeMilliseconds && this.fetching.isCaughtUpWith(state.frontiers)) {
            this.options.proof.recordPeerTime(sentAt - state.freshAge);
        }
    }

    private applyNodes({ sender, nodes }: NodeState): void {
        const now = this.getTime();
        for (const record of sender === undefined ? nodes : [sender, ...nodes]) {
            // Most of what peers tell of others is older than what this node knows.
            if (!this.options.nodes.isNewer(record.nodeId, now - record.age)) {
                continue;
            }
            const { nodeId, address, dataCentre, age, isWithoutStore, tunnelAddress, unreachablePercent } = record;
            const { lag, isOutOfRotation } = record;
            this.options.nodes.update({
                nodeId,
                address,
                dataCentre,
                isWithoutStore,
                tunnelAddress,
                unreachableFraction: unreachablePercent / percent,
                lag,
                isOutOfRotation,
                heardAt: now - age,
            });
        }
    }

    private createOwnRecord(): OwnNodeRecord {
        const { nodeId, address, dataCentre, storeWatch, links, overload, isReady } = this.options;
        return {
            nodeId,
            address,
            dataCentre,
            age: 0,
            isWithoutStore: storeWatch.isWithoutStore(),
            tunnelAddress: links.getTunnelAddress(),
            unreachablePercent: Math.round(links.getUnreachableFraction() * percent),
            lag: overload.getLag(),
            isOutOfRotation: !isReady(),
        };
    }

    private createNodeRecords(live: readonly KnownNode[], knownToPeer = Infinity): OwnNodeRecord[] {
        const { random } = this.options;
        const now = this.getTime();
        const isNewcomer = knownToPeer < live.length * newcomerFraction;
        const usualCount = Math.max(minimumNodesPerMessage, Math.ceil(live.length * nodesPerMessageFraction));
        const first = Math.floor(random() * live.length);
        const selected = [...live.slice(first), ...live.slice(0, first)].slice(
            0,
            isNewcomer ? nodesPerNewcomerMessage : usualCount,
        );
        return selected.map(node => ({
            nodeId: node.nodeId,
            address: node.address,
            dataCentre: node.dataCentre,
            isWithoutStore: node.isWithoutStore,
            tunnelAddress: node.tunnelAddress ?? "",
            unreachablePercent: Math.round((node.unreachableFraction ?? 0) * percent),
            lag: node.lag ?? 0,
            isOutOfRotation: node.isOutOfRotation ?? false,
            age: Math.max(0, Math.round(now - node.heardAt)),
        }));
    }

    private getTime(): number {
        return this.options.clock.getMonotonicTime();
    }
}

function encodeRelease(release: LeaseRelease | undefined): OwnState["leaseRelease"] {
    return release && { revision: BigInt(release.revision), fencingNumber: BigInt(release.fencingNumber) };
}
