import { getOwnRoom } from "./getOwnRoom.ts";
import type { LoadOfEndpoint } from "./loadOfEndpoint.ts";
import type { LoadReservation } from "./loadReservation.ts";
import type { RelayStage } from "./relayStage.ts";

/** What one peer has said of its own requests. */
interface PeerLoads {
    receivedAt: number;
    loads: LoadOfEndpoint[];
    /** Tokens a second of new requests that come to it. */
    demand: number;
}

/** This node's requests at one endpoint. */
interface OwnLoad extends LoadOfEndpoint {
    /** Most memory that they took in the present and in the last interval, in tokens times layers. */
    peak: number;
    peakBefore: number;
    intervalStart: number;
    /** Monotonic time in milliseconds until which the endpoint is taken to be full, since it refused for want of room. */
    fullUntil: number;
}

/** A peer's word on its load counts for this long; it speaks several times in that time. */
const peerLoadMilliseconds = 3_000;
/** A change of this node's load is known to all peers after one to two of these. */
const peakIntervalMilliseconds = 300;
/** By then, requests that were on their way when the endpoint refused one are counted by all. */
const fullMilliseconds = 250;
/** A node with little demand has this part of an equal part all the same, for what may come next. */
const leastDemandPart = 0.25;
const noLoad: LoadOfEndpoint = { endpointId: "", requests: 0, tokenLayers: 0 };

/** The load of each endpoint: this node's own requests, and those that its peers have told of. */
export class EndpointLoads {
    private readonly own = new Map<string, OwnLoad>();
    private readonly peers = new Map<string, PeerLoads>();
    private readonly onRelease: () => void;
    private sums = new Map<string, LoadOfEndpoint>();
    private peerDemand = 0;
    private peerCount = 0;

    private constructor(onRelease: () => void) {
        this.onRelease = onRelease;
    }

    /**
     * Creates a record without load.
     * @param onRelease - Called when a request has left its endpoints, or peers have told of theirs.
     */
    static create(onRelease: () => void = () => undefined): EndpointLoads {
        return new EndpointLoads(onRelease);
    }

    /** Gets the requests of all nodes at an endpoint, as last known. */
    getLoad(endpointId: string): LoadOfEndpoint {
        const own = this.own.get(endpointId) ?? noLoad;
        const others = this.sums.get(endpointId) ?? noLoad;
        return {
            endpointId,
            requests: own.requests + others.requests,
            tokenLayers: own.tokenLayers + others.tokenLayers,
        };
    }

    /**
     * Gets the memory that this node may still give to requests at an endpoint, in tokens times layers.
     * @param endpointId - The endpoint.
     * @param total - Its memory for requests that isn't taken by anything unknown.
     * @param ownDemand - Tokens a second of new requests that come to this node.
     * @param now - Monotonic time in milliseconds.
     */
    getRoom(endpointId: string, total: number, ownDemand: number, now: number): number {
        const load = this.own.get(endpointId);
        const own = load?.tokenLayers ?? 0;
        const others = this.sums.get(endpointId)?.tokenLayers ?? 0;
        if (load !== undefined && load.fullUntil > now) {
            return 0;
        }
        const ownPeak = load === undefined ? 0 : getPeak(load, now);
        return getOwnRoom({ own, ownPeak, others, total, share: this.getShare(ownDemand) });
    }

    /**
     * Gets this node's part of the demand of all nodes. Those that it has heard nothing of lately are taken to have as much as the
     * others have on average.
     * @param ownDemand - Tokens a second of new requests that come to this node.
     * @param nodeCount - Nodes that live, this one included.
     */
    getDemandPart(ownDemand: number, nodeCount: number): number {
        const equalPart = 1 / nodeCount;
        const peerMean = this.peerCount > 0 ? this.peerDemand / this.peerCount : ownDemand;
        const sum = ownDemand + peerMean * (nodeCount - 1);
        return sum > 0 ? Math.max(ownDemand / sum, equalPart * leastDemandPart) : equalPart;
    }

    /** Notes that an endpoint refused a request for want of room: whatever is counted here, it has none for a moment. */
    noteFull(endpointId: string, now: number): void {
        const load = this.getOwn(endpointId, now);
        load.peak = load.tokenLayers;
        load.peakBefore = load.tokenLayers;
        load.fullUntil = now + fullMilliseconds;
    }

    /** Gets this node's own loads, for its peers. */
    getOwnLoads(): LoadOfEndpoint[] {
        return [...this.own.values()].filter(load => load.requests > 0);
    }

    /** Takes what a peer says of its own requests and its demand; replaces what it said before. */
    setPeerLoads(peerId: string, loads: LoadOfEndpoint[], demand: number, now: number): void {
        this.peers.set(peerId, { receivedAt: now, loads, demand });
        this.sumPeers(now);
        this.onRelease();
    }

    /**
     * Counts a request at each stage of its chain.
     * @param stages - The chain.
     * @param tokens - Tokens that the request is expected to have at its end.
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

    /** Counts a request without memory at one endpoint. */
    reserveEndpoint(endpointId: string, now: number): LoadReservation {
        return this.reserve([{ endpointId, requests: 1, tokenLayers: 0 }], now);
    }

    /** Forgets endpoints that are not registered any more, but for requests that still run there. */
    retain(endpointIds: ReadonlySet<string>): void {
        for (const [endpointId, { requests }] of this.own) {
            if (requests === 0 && !endpointIds.has(endpointId)) {
                this.own.delete(endpointId);
            }
        }
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
                    this.giveBack(load);
                }
                this.onRelease();
            },
        };
    }

    private giveBack({ endpointId, requests, tokenLayers }: LoadOfEndpoint): void {
        const own = this.own.get(endpointId);
        if (own === undefined) {
            return;
        }
        own.requests -= requests;
        // Sums of fractions leave a rest, which must not stay with an endpoint for good.
        own.tokenLayers = own.requests === 0 ? 0 : own.tokenLayers - tokenLayers;
    }

    private getOwn(endpointId: string, now: number): OwnLoad {
        const known = this.own.get(endpointId);
        if (known !== undefined) {
            return known;
        }
        const load: OwnLoad = {
            ...noLoad,
            endpointId,
            peak: 0,
            peakBefore: 0,
            intervalStart: now,
            fullUntil: 0,
        };
        this.own.set(endpointId, load);
        return load;
    }

    /** Gets this node's part of the demand, or an equal part where nobody has any. */
    private getShare(ownDemand: number): number {
        const sum = ownDemand + this.peerDemand;
        return sum > 0 ? ownDemand / sum : 1 / (1 + this.peerCount);
    }

    private sumPeers(now: number): void {
        this.sums = new Map();
        this.peerDemand = 0;
        for (const [peerId, { receivedAt, loads, demand }] of this.peers) {
            if (now - receivedAt > peerLoadMilliseconds) {
                this.peers.delete(peerId);
                continue;
            }
            this.peerDemand += demand;
            for (const load of loads) {
                const sum = this.sums.get(load.endpointId) ?? { ...noLoad, endpointId: load.endpointId };
                sum.requests += load.requests;
                sum.tokenLayers += load.tokenLayers;
                this.sums.set(load.endpointId, sum);
            }
        }
        this.peerCount = this.peers.size;
    }
}

/** Gets the most memory that this node's requests took lately at an endpoint, in tokens times layers. */
function getPeak(load: OwnLoad, now: number): number {
    const elapsed = now - load.intervalStart;
    if (elapsed >= peakIntervalMilliseconds) {
        load.peakBefore = elapsed < 2 * peakIntervalMilliseconds ? load.peak : load.tokenLayers;
        load.peak = load.tokenLayers;
        load.intervalStart = now;
    }
    return Math.max(load.peak, load.peakBefore);
}
