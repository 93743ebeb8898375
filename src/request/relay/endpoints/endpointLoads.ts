import { peerReportTimeToLiveMilliseconds } from "../../admission/peerReportTimeToLiveMilliseconds.ts";
import type { RelayStage } from "../chains/relayStage.ts";
import { computeAvailableMemory } from "./computeAvailableMemory.ts";
import { computeAvailableSlots } from "./computeAvailableSlots.ts";
import type { LoadOfEndpoint } from "./loadOfEndpoint.ts";
import type { LoadReservation } from "./loadReservation.ts";

/** Last report of a peer about its own requests. */
interface PeerLoads {
    receivedAt: number;
    loads: LoadOfEndpoint[];
    /** Tokens per second of new requests that arrive at the peer. */
    demand: number;
}

/** The sum of what peers report of one endpoint. */
interface PeerSum extends LoadOfEndpoint {
    /** Number of peers that report requests at it. */
    reports: number;
}

/** This node's requests at one endpoint. */
interface OwnLoad extends LoadOfEndpoint {
    /** Peak memory of these requests in the current interval, in tokens times layers. */
    peak: number;
    /** Peak memory in the previous interval, in tokens times layers. */
    previousPeak: number;
    intervalStart: number;
    /** Monotonic time in milliseconds until which the endpoint counts as full, after it refused a request for lack of memory. */
    fullUntil: number;
}

/** Interval of peak tracking. All peers know a change of this node's load after one to two intervals. */
const peakIntervalMilliseconds = 300;
/** After this time, all nodes have counted the requests that were in flight when the endpoint refused one. */
const fullDurationMilliseconds = 250;
/** Minimum share of a node with little demand, as a fraction of an equal share, for requests that may come next. */
const minimumShareFraction = 0.25;
const noLoad: LoadOfEndpoint = { endpointId: "", requests: 0, tokenLayers: 0 };

/** Fewer reports count as this many, since the requests of a few peers say little about those of all. */
const minimumSampledPeers = 12;
/** Time without any report after which the reports of peers are looked through for old ones. */
const reviewIntervalMilliseconds = 1_000;

/** Tracks the load of each endpoint: this node's own requests, and those that peers report. */
export class EndpointLoads {
    private readonly own = new Map<string, OwnLoad>();
    private readonly peers = new Map<string, PeerLoads>();
    private readonly onRelease: () => void;
    private readonly getLivePeerCount: () => number;
    /** Kept up to date with each report, since summing the reports of all peers for each of them would be quadratic. */
    private readonly peerSums = new Map<string, PeerSum>();
    private peerDemand = 0;
    private peerCount = 0;
    /** Number of live peers for each one with a recent report. */
    private livePeersPerReport = 1;
    /** Monotonic time in milliseconds at which old reports were last removed. */
    private reviewedAt = -Infinity;

    private constructor(onRelease: () => void, getLivePeerCount: () => number) {
        this.onRelease = onRelease;
        this.getLivePeerCount = getLivePeerCount;
    }

    /**
     * Creates an instance without load.
     * @param onRelease - Called when a request releases its endpoints, or when a peer's report arrives.
     * @param getLivePeerCount - Gets the number of the other live nodes. Default: only those with a recent report count.
     */
    static create(onRelease: () => void = () => undefined, getLivePeerCount: () => number = () => 0): EndpointLoads {
        return new EndpointLoads(onRelease, getLivePeerCount);
    }

    /** Gets the last known load of an endpoint by the requests of this node and of the peers with a recent report. */
    getLoad(endpointId: string): LoadOfEndpoint {
        return this.addLoads(endpointId, 1);
    }

    /**
     * Gets the expected load of an endpoint by the requests of all live nodes. Those without a recent report, which are most of them
     * in a large deployment, count with the average of the other peers. Otherwise all nodes would fill an endpoint that was
     * almost empty at its last reading, until the next one.
     */
    getExpectedLoad(endpointId: string): LoadOfEndpoint {
        return this.addLoads(endpointId, this.livePeersPerReport);
    }

    /**
     * Gets the memory of an endpoint that this node may still use for requests, in tokens times layers.
     * @param endpointId - The endpoint.
     * @param total - Its memory for requests, without memory in use that no node's requests explain.
     * @param ownDemand - Tokens per second of new requests that arrive at this node.
     * @param now - Monotonic time in milliseconds.
     */
    getAvailableMemory(endpointId: string, total: number, ownDemand: number, now: number): number {
        const load = this.own.get(endpointId);
        const own = load?.tokenLayers ?? 0;
        const others = (this.peerSums.get(endpointId)?.tokenLayers ?? 0) * this.livePeersPerReport;
        if (this.isFull(endpointId, now)) {
            return 0;
        }
        const ownPeak = load === undefined ? 0 : getPeak(load, now);
        return computeAvailableMemory({ own, ownPeak, others, total, share: this.getKnownDemandShare(ownDemand) });
    }

    /**
     * Gets the number of further requests that this node may send to an endpoint as the first stage of their chains.
     * @param endpointId - The endpoint.
     * @param total - Number of requests that it runs at the same time as a first stage.
     * @param ownDemand - Tokens per second of new requests that arrive at this node.
     */
    getAvailableSlots(endpointId: string, total: number, ownDemand: number): number {
        const { requests } = this.getExpectedLoad(endpointId);
        return computeAvailableSlots({ used: requests, total, share: this.getKnownDemandShare(ownDemand) });
    }

    /**
     * Gets this node's share of the demand of all nodes. Nodes without a recent report count with the average demand of the
     * other peers.
     * @param ownDemand - Tokens per second of new requests that arrive at this node.
     * @param nodeCount - Number of live nodes, including this one.
     */
    getDemandShare(ownDemand: number, nodeCount: number): number {
        const equalShare = 1 / nodeCount;
        const peerMean = this.peerCount > 0 ? this.peerDemand / this.peerCount : ownDemand;
        const sum = ownDemand + peerMean * (nodeCount - 1);
        return sum > 0 ? Math.max(ownDemand / sum, equalShare * minimumShareFraction) : equalShare;
    }

    /** Records that an endpoint refused a request for lack of memory. It briefly counts as full, whatever its known load. */
    markFull(endpointId: string, now: number): void {
        const load = this.getOwn(endpointId, now);
        load.peak = load.tokenLayers;
        load.previousPeak = load.tokenLayers;
        load.fullUntil = now + fullDurationMilliseconds;
    }

    /** Checks if an endpoint has refused a request for lack of memory so recently that it would refuse the next one. */
    isFull(endpointId: string, now: number): boolean {
        return (this.own.get(endpointId)?.fullUntil ?? -Infinity) > now;
    }

    /** Gets the loads by this node's own requests, to report them to peers. */
    getOwnLoads(): LoadOfEndpoint[] {
        return [...this.own.values()].filter(load => load.requests > 0);
    }

    /** Sets the loads and the demand that a peer reports, replacing its previous report. */
    setPeerLoads(peerId: string, loads: LoadOfEndpoint[], demand: number, now: number): void {
        this.removePeer(peerId);
        this.peers.set(peerId, { receivedAt: now, loads, demand });
        for (const load of loads) {
            this.addToSum(load);
        }
        this.removeExpiredPeers(now);
        this.onRelease();
    }

    /** Forgets the reports of peers that have stopped reporting, which each report of another peer does too. */
    forgetOldReports(now: number): void {
        if (now - this.reviewedAt >= reviewIntervalMilliseconds) {
            this.removeExpiredPeers(now);
        }
    }

    /**
     * Reserves the load of a request at each stage of its chain.
     * @param stages - The chain.
     * @param tokens - Expected tokens of the request at its end.
     * @param now - Monotonic time in milliseconds.
     */
    reserveStages(stages: readonly RelayStage[], tokens: number, now: number): LoadReservation {
        const loads = stages.map(stage => ({
            endpointId: stage.endpoint.id,
            requests: 1,
            tokenLayers: tokens * (stage.end - stage.start),
        }));
        return this.reserve(loads, now);
    }

    /** Reserves the load of a request that needs no memory at an endpoint. */
    reserveEndpoint(endpointId: string, now: number): LoadReservation {
        return this.reserve([{ endpointId, requests: 1, tokenLayers: 0 }], now);
    }

    /** Removes endpoints that are no longer registered, except those that still run requests of this node. */
    retain(endpointIds: ReadonlySet<string>): void {
        for (const [endpointId, { requests }] of this.own) {
            if (requests === 0 && !endpointIds.has(endpointId)) {
                this.own.delete(endpointId);
            }
        }
    }

    private addLoads(endpointId: string, peerFactor: number): LoadOfEndpoint {
        const own = this.own.get(endpointId) ?? noLoad;
        const others = this.peerSums.get(endpointId) ?? noLoad;
        return {
            endpointId,
            requests: own.requests + others.requests * peerFactor,
            tokenLayers: own.tokenLayers + others.tokenLayers * peerFactor,
        };
    }

    private reserve(loads: LoadOfEndpoint[], now: number): LoadReservation {
        for (const { endpointId, requests, tokenLayers } of loads) {
            const own = this.getOwn(endpointId, now);
            own.requests += requests;
            own.tokenLayers += tokenLayers;
            own.peak = Math.max(own.peak, own.tokenLayers);
        }
        let isHeld = true;
        return {
            release: () => {
                if (!isHeld) {
                    return;
                }
                isHeld = false;
                for (const load of loads) {
                    this.releaseLoad(load);
                }
                this.onRelease();
            },
        };
    }

    private releaseLoad({ endpointId, requests, tokenLayers }: LoadOfEndpoint): void {
        const own = this.own.get(endpointId);
        if (own === undefined) {
            return;
        }
        own.requests -= requests;
        // Floating-point sums leave a rounding error, which must not remain at an idle endpoint.
        own.tokenLayers = own.requests === 0 ? 0 : own.tokenLayers - tokenLayers;
    }

    private getOwn(endpointId: string, now: number): OwnLoad {
        const existing = this.own.get(endpointId);
        if (existing !== undefined) {
            return existing;
        }
        const load: OwnLoad = {
            ...noLoad,
            endpointId,
            peak: 0,
            previousPeak: 0,
            intervalStart: now,
            fullUntil: 0,
        };
        this.own.set(endpointId, load);
        return load;
    }

    /** Gets this node's share of the known demand, or an equal share if there is no demand. */
    private getKnownDemandShare(ownDemand: number): number {
        const sum = ownDemand + this.peerDemand * this.livePeersPerReport;
        return sum > 0 ? ownDemand / sum : 1 / (1 + this.peerCount * this.livePeersPerReport);
    }

    private removeExpiredPeers(now: number): void {
        this.reviewedAt = now;
        this.peerDemand = 0;
        for (const [peerId, { receivedAt, demand }] of this.peers) {
            if (now - receivedAt > peerReportTimeToLiveMilliseconds) {
                this.removePeer(peerId);
                continue;
            }
            this.peerDemand += demand;
        }
        this.peerCount = this.peers.size;
        const sampled = Math.max(this.peerCount, minimumSampledPeers);
        this.livePeersPerReport = Math.max(1, this.getLivePeerCount() / sampled);
    }

    private removePeer(peerId: string): void {
        const peer = this.peers.get(peerId);
        this.peers.delete(peerId);
        for (const load of peer?.loads ?? []) {
            this.subtractFromSum(load);
        }
    }

    private addToSum({ endpointId, requests, tokenLayers }: LoadOfEndpoint): void {
        const sum = this.peerSums.get(endpointId);
        if (sum === undefined) {
            this.peerSums.set(endpointId, { endpointId, requests, tokenLayers, reports: 1 });
            return;
        }
        sum.requests += requests;
        sum.tokenLayers += tokenLayers;
        sum.reports += 1;
    }

    private subtractFromSum({ endpointId, requests, tokenLayers }: LoadOfEndpoint): void {
        const sum = this.peerSums.get(endpointId);
        if (sum === undefined) {
            return;
        }
        sum.requests -= requests;
        sum.tokenLayers -= tokenLayers;
        sum.reports -= 1;
        if (sum.reports === 0) {
            // Removed with its rounding error, which must not remain at an idle endpoint.
            this.peerSums.delete(endpointId);
        }
    }
}

/** Gets the recent peak memory of this node's requests at an endpoint, in tokens times layers. */
function getPeak(load: OwnLoad, now: number): number {
    const elapsed = now - load.intervalStart;
    if (elapsed >= peakIntervalMilliseconds) {
        load.previousPeak = elapsed < 2 * peakIntervalMilliseconds ? load.peak : load.tokenLayers;
        load.peak = load.tokenLayers;
        load.intervalStart = now;
    }
    return Math.max(load.peak, load.previousPeak);
}
