import type { LoadOfEndpoint } from "./loadOfEndpoint.ts";
import type { LoadReservation } from "./loadReservation.ts";
import type { RelayStage } from "./relayStage.ts";

/** What one peer has said of its own requests. */
interface PeerLoads {
    receivedAt: number;
    loads: LoadOfEndpoint[];
}

/** A peer's word on its load counts for this long; it speaks several times in that time. */
const peerLoadMilliseconds = 3_000;
const noLoad: LoadOfEndpoint = { endpointId: "", requests: 0, tokenLayers: 0 };

/** The load of each endpoint: this node's own requests, and those that its peers have told of. */
export class EndpointLoads {
    private readonly own = new Map<string, LoadOfEndpoint>();
    private readonly peers = new Map<string, PeerLoads>();
    private sums = new Map<string, LoadOfEndpoint>();

    private constructor() {}

    /** Creates a record without load. */
    static create(): EndpointLoads {
        return new EndpointLoads();
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

    /** Gets this node's own loads, for its peers. */
    getOwnLoads(): LoadOfEndpoint[] {
        return [...this.own.values()].filter(load => load.requests > 0);
    }

    /** Takes what a peer says of its own requests; replaces what it said before. */
    setPeerLoads(peerId: string, loads: LoadOfEndpoint[], now: number): void {
        this.peers.set(peerId, { receivedAt: now, loads });
        this.sumPeers(now);
    }

    /**
     * Counts a request at each stage of its chain.
     * @param stages - The chain.
     * @param tokens - Tokens that the request is expected to have at its end.
     */
    reserveStages(stages: readonly RelayStage[], tokens: number): LoadReservation {
        const loads = stages.map(stage => ({
            endpointId: stage.endpoint.id,
            requests: 1,
            tokenLayers: tokens * (stage.end - stage.start),
        }));
        return this.reserve(loads);
    }

    /** Counts a request without memory at one endpoint. */
    reserveEndpoint(endpointId: string): LoadReservation {
        return this.reserve([{ endpointId, requests: 1, tokenLayers: 0 }]);
    }

    private reserve(loads: LoadOfEndpoint[]): LoadReservation {
        for (const load of loads) {
            this.addOwn(load, 1);
        }
        let isHeld = true;
        return {
            release: () => {
                if (!isHeld) {
                    return;
                }
                isHeld = false;
                for (const load of loads) {
                    this.addOwn(load, -1);
                }
            },
        };
    }

    private addOwn(load: LoadOfEndpoint, sign: 1 | -1): void {
        const { endpointId } = load;
        const known = this.own.get(endpointId) ?? { endpointId, requests: 0, tokenLayers: 0 };
        known.requests += sign * load.requests;
        known.tokenLayers += sign * load.tokenLayers;
        if (known.requests === 0) {
            this.own.delete(endpointId);
            return;
        }
        this.own.set(endpointId, known);
    }

    private sumPeers(now: number): void {
        this.sums = new Map();
        for (const [peerId, { receivedAt, loads }] of this.peers) {
            if (now - receivedAt > peerLoadMilliseconds) {
                this.peers.delete(peerId);
                continue;
            }
            for (const load of loads) {
                const sum = this.sums.get(load.endpointId) ?? { ...noLoad, endpointId: load.endpointId };
                sum.requests += load.requests;
                sum.tokenLayers += load.tokenLayers;
                this.sums.set(load.endpointId, sum);
            }
        }
    }
}
