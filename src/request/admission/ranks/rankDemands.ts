import { peerReportTimeToLiveMilliseconds } from "../peerReportTimeToLiveMilliseconds.ts";
import { SmoothedRate } from "../smoothedRate.ts";
import { isReportedRank } from "./isReportedRank.ts";
import type { RankDemand } from "./rankDemand.ts";

/** Last report of a peer about its own requests. */
interface PeerDemands {
    receivedAt: number;
    byRank: ReadonlyMap<number, RankDemand>;
}

/** A request with its expected tokens. */
interface RankedRequest {
    service: string;
    rank: number;
    tokens: number;
}

/** Rates of this node's requests for one service and of one rank. */
interface OwnRates {
    service: string;
    rank: number;
    arriving: SmoothedRate;
    starting: SmoothedRate;
}

/** Maximum number of ranks that a node reports, so that messages stay bounded. Those with the highest priority are reported. */
const maximumReportedRanks = 8;
/** Bursts last 3 to 7 s, so the rates must follow within less. */
const timeConstantMilliseconds = 2_000;

/**
 * Tracks the demand by rank: of this node's requests, and of those that peers report.
 *
 * It is designed for nodes with unequal shares of the traffic, of which some don't report. It is fed only with requests of services
 * that have several ranks. Times are monotonic, in milliseconds.
 */
export class RankDemands {
    private readonly own = new Map<string, OwnRates>();
    private readonly peers = new Map<string, PeerDemands>();

    private constructor() {}

    /** Creates an instance without demand. */
    static create(): RankDemands {
        return new RankDemands();
    }

    /** Records a request that has arrived. */
    observeArrival({ service, rank, tokens }: RankedRequest, now: number): void {
        this.getOrAddOwn(service, rank, now).arriving.observe(now, tokens);
    }

    /** Records a request that was started. */
    observeStart({ service, rank, tokens }: RankedRequest, now: number): void {
        this.getOrAddOwn(service, rank, now).starting.observe(now, tokens);
    }

    /** Lists the demand at this node, to report it to peers. */
    listOwn(now: number): RankDemand[] {
        const ranks = new Set([...this.own.values()].map(({ rank }) => rank).filter(isReportedRank));
        return [...ranks].sort((left, right) => left - right).slice(0, maximumReportedRanks)
            .map(rank => this.sumOwn(now, rank));
    }

    /** Gets the demand for all services of one rank at this node. */
    getOwn(rank: number, now: number): RankDemand {
        return this.sumOwn(now, rank);
    }

    /**
     * Sets the demand that a peer reports, replacing its previous report.
     * @param peerId - The peer.
     * @param demands - Its demand by rank; empty if it has not had requests of services with several ranks.
     * @param now - Monotonic time in milliseconds.
     * @param isIdle - Whether the peer has had no requests at all. Its demand is then known to be 0. If it counted with the mean of
     * the others, few nodes with callers among many without would overestimate the demand several times and hold requests back.
     */
    setPeerDemands(peerId: string, demands: readonly RankDemand[], now: number, isIdle = false): void {
        const isKnownIdle = isIdle && this.own.size > 0;
        if (demands.length > 0 || isKnownIdle || this.peers.has(peerId)) {
            this.peers.set(peerId, { receivedAt: now, byRank: new Map(demands.map(demand => [demand.rank, demand])) });
        }
    }

    /**
     * Gets the demand for a service of one rank at all nodes. Reports don't tell services apart, so the service has the fraction of
     * the reported demand that it has of this node's. Nodes without a recent report count with the mean of the other peers, or
     * with this node's demand if there are none, or if the rank isn't reported.
     * @param service - The service; undefined for all services together.
     * @param nodeCount - Number of live nodes, including this one.
     */
    getTotal(service: string | undefined, rank: number, nodeCount: number, now: number): RankDemand {
        const own = this.sumOwn(now, rank);
        const ownOfService = this.sumOwn(now, rank, service);
        const unknownFraction = service === undefined ? 1 : 1 / this.countServices();
        const serviceFraction = own.demand > 0 ? ownOfService.demand / own.demand : unknownFraction;
        const reported: RankDemand = { rank, demand: 0, admitted: 0 };
        let reporterCount = 0;
        for (const [peerId, { receivedAt, byRank }] of this.peers) {
            if (now - receivedAt > peerReportTimeToLiveMilliseconds) {
                this.peers.delete(peerId);
                continue;
            }
            reporterCount += 1;
            reported.demand += byRank.get(rank)?.demand ?? 0;
            reported.admitted += byRank.get(rank)?.admitted ?? 0;
        }
        const peerCount = Math.max(0, nodeCount - 1);
        if (reporterCount === 0 || !isReportedRank(rank)) {
            const { demand, admitted } = ownOfService;
            return { rank, demand: demand * (1 + peerCount), admitted: admitted * (1 + peerCount) };
        }
        const factor = serviceFraction * peerCount / reporterCount;
        return {
            rank,
            demand: ownOfService.demand + reported.demand * factor,
            admitted: ownOfService.admitted + reported.admitted * factor,
        };
    }

    /** Lists the ranks of which this node or a peer with a recent report has had requests, highest priority first. */
    listRanks(now: number): number[] {
        const ranks = new Set([...this.own.values()].map(({ rank }) => rank));
        for (const { receivedAt, byRank } of this.peers.values()) {
            for (const rank of now - receivedAt <= peerReportTimeToLiveMilliseconds ? byRank.keys() : []) {
                ranks.add(rank);
            }
        }
        return [...ranks].sort((left, right) => left - right);
    }

    /** Gets the age of the oldest report in use, in milliseconds; 0 if there is none. */
    getOldestReportAge(now: number): number {
        let oldest = 0;
        for (const { receivedAt } of this.peers.values()) {
            oldest = Math.max(oldest, now - receivedAt);
        }
        return Math.round(oldest);
    }

    private sumOwn(now: number, rank: number, service?: string): RankDemand {
        const sum: RankDemand = { rank, demand: 0, admitted: 0 };
        for (const own of this.own.values()) {
            if (own.rank === rank && (service === undefined || own.service === service)) {
                sum.demand += own.arriving.getPerSecond(now);
                sum.admitted += own.starting.getPerSecond(now);
            }
        }
        return sum;
    }

    private countServices(): number {
        return Math.max(1, new Set([...this.own.values()].map(({ service }) => service)).size);
    }

    private getOrAddOwn(service: string, rank: number, now: number): OwnRates {
        const key = `${rank} ${service}`;
        let own = this.own.get(key);
        if (own === undefined) {
            const arriving = SmoothedRate.create(timeConstantMilliseconds, now);
            own = { service, rank, arriving, starting: SmoothedRate.create(timeConstantMilliseconds, now) };
            this.own.set(key, own);
        }
        return own;
    }
}
