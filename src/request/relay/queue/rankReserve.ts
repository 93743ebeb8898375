import type { EventLog } from "../../../process/logging/eventLog.ts";
import { events } from "../../../process/logging/events.ts";
import { computeAdmittedShares } from "../../admission/ranks/computeAdmittedShares.ts";
import { computeReserve } from "../../admission/ranks/computeReserve.ts";
import { RankCredits } from "../../admission/ranks/rankCredits.ts";
import { RankDemands } from "../../admission/ranks/rankDemands.ts";
import { RankFloor } from "../../admission/ranks/rankFloor.ts";

/** A request of a service that has several ranks. */
interface RankedRequest {
    requestId: string;
    service: string;
    rank: number;
    /** Ranks of the service, in ascending order. */
    ranks: readonly number[];
    /** Expected tokens of the prompt and the answer. */
    tokens: number;
    /** Whether it is a new request, which counts as demand. Retries by the caller don't. */
    isNew: boolean;
}

/** What the reserve for a request depends on beside the demand. */
interface ReserveState {
    /** Mean time for which a request holds its memory; undefined if unknown. */
    holdMilliseconds: number | undefined;
    /** Number of live nodes, including this one. */
    nodeCount: number;
    /** Monotonic time in milliseconds. */
    now: number;
    /** Gets the number of tokens for which the endpoints have memory. */
    getMemoryTokens(): number;
    /** Gets the number of tokens of requests that the endpoints can run on time. */
    getTimelyTokens(): number;
}

/** The admitted shares of the ranks of a service, as last computed. */
interface KnownShares {
    shares: readonly number[];
    at: number;
    loggedShares: readonly number[];
}

/** A computed reserve. */
interface KnownReserve {
    service: string;
    rank: number;
    fraction: number;
    at: number;
    /** Monotonic time in milliseconds since which the fraction is above 0 without a break; undefined if it is 0. */
    since: number | undefined;
    loggedFraction: number;
}

/** What requests of one rank leave free for higher ranks. */
interface ReserveStatus {
    service: string;
    rank: number;
    /** Fraction of each endpoint's memory. */
    fraction: number;
    /** Time for which it has been above 0 without a break, in milliseconds; undefined if it is 0. */
    heldMilliseconds: number | undefined;
    /** Time since it was computed, in milliseconds. */
    ageMilliseconds: number;
}

/** Options of a {@link RankReserve}. */
interface RankReserveOptions {
    log: EventLog;
    /** Called at most once a second for each rank with the fraction of its demand that all nodes admit, 0 to 1. */
    onAdmittedShare?(rank: number, share: number): void;
}

/**
 * Fraction of the memory that requests can fill, since a chain needs free memory at all of its stages. Capacity that is assumed too
 * large only means that the reserve decides; too little would leave memory unused.
 */
const usableMemoryFraction = 0.8;
/** Time for which a computed reserve is used. A lost endpoint is then accounted for within a tenth of a second. */
const maximumAgeMilliseconds = 100;
/** A change of a reserve by more than this is logged. */
const loggedChange = 0.1;
const reportIntervalMilliseconds = 1_000;
const secondMilliseconds = 1_000;

/**
 * Decides which share of its demand each rank is admitted with, and how much of each endpoint's memory requests of a lower rank leave
 * free for higher ranks. It acts only where a service has several ranks.
 *
 * It is designed for a burst of the last rank while endpoints are lost, on many nodes whose reports are up to 0.6 s old.
 */
export class RankReserve {
    readonly demands = RankDemands.create();
    private readonly options: RankReserveOptions;
    private readonly floor = RankFloor.create();
    private readonly credits = RankCredits.create();
    private readonly knownShares = new Map<string, KnownShares>();
    private readonly known = new Map<string, KnownReserve>();
    private readonly sharesReportedAt = new Map<number, number>();
    private loggedAt = -Infinity;

    private constructor(options: RankReserveOptions) {
        this.options = options;
    }

    /** Creates an instance that reserves nothing. */
    static create(options: RankReserveOptions): RankReserve {
        return new RankReserve(options);
    }

    /** Records a request that has arrived. */
    noteArrival(request: RankedRequest, state: ReserveState): void {
        const { service, rank, tokens, isNew } = request;
        const { now, nodeCount } = state;
        if (!isNew) {
            return;
        }
        this.demands.observeArrival({ service, rank, tokens }, now);
        this.floor.observeArrival(getKey(service, rank), tokens);
        this.credits.add(getKey(service, rank), tokens, this.getShare(request, state));
        this.reportShare(service, rank, nodeCount, now);
    }

    /** Records a request that was started. */
    noteStart({ service, rank, tokens, isNew }: RankedRequest, now: number): void {
        this.floor.observeStart(getKey(service, rank), tokens);
        this.credits.take(getKey(service, rank), tokens);
        if (isNew) {
            this.demands.observeStart({ service, rank, tokens }, now);
        }
    }

    /** Checks if a request must wait because its rank has used up its admitted share of the capacity of all nodes. */
    isHeld(request: RankedRequest, state: ReserveState): boolean {
        return this.getShare(request, state) < 1 && !this.credits.hasCredit(getKey(request.service, request.rank));
    }

    /** Checks if a request may be started regardless of the reserve, because its rank would get less than its minimum otherwise. */
    mayIgnore({ service, rank, ranks }: RankedRequest): boolean {
        return rank !== ranks[0] && this.floor.hasCredit(getKey(service, rank));
    }

    /** Gets the fraction of each endpoint's memory that a request leaves free for higher ranks, 0 to 1. */
    getFraction(request: RankedRequest, { holdMilliseconds, nodeCount, now, getMemoryTokens }: ReserveState): number {
        const { service, rank, ranks } = request;
        const higher = ranks.filter(other => other < rank);
        if (higher.length === 0) {
            return 0;
        }
        const key = getKey(service, rank);
        const known = this.known.get(key);
        if (known !== undefined && now - known.at < maximumAgeMilliseconds) {
            return known.fraction;
        }
        const higherRanks = higher.map(other => this.demands.getTotal(service, other, nodeCount, now));
        const capacityTokens = getMemoryTokens();
        const fraction = computeReserve({ higherRanks, holdMilliseconds, capacityTokens });
        const loggedFraction = known?.loggedFraction ?? 0;
        const since = fraction > 0 ? known?.since ?? now : undefined;
        const next = { service, rank, fraction, at: now, since, loggedFraction };
        if (Math.abs(fraction - loggedFraction) > loggedChange && now - this.loggedAt >= reportIntervalMilliseconds) {
            this.loggedAt = now;
            next.loggedFraction = fraction;
            let [demand, admitted] = [0, 0];
            for (const total of higherRanks) {
                demand += total.demand;
                admitted += total.admitted;
            }
            this.options.log.write(events.rankReserveChanged, {
                request: request.requestId,
                service,
                rank,
                reserve: round(fraction),
                before: round(loggedFraction),
                higherDemand: Math.round(demand),
                higherAdmitted: Math.round(admitted),
                reportAgeMilliseconds: this.demands.getOldestReportAge(now),
                capacityTokens: Math.round(capacityTokens),
                holdMilliseconds: Math.round(holdMilliseconds ?? 0),
            });
        }
        this.known.set(key, next);
        return fraction;
    }

    /** Gets the fraction of its demand with which a request's rank is admitted, the same at all nodes. */
    private getShare(request: RankedRequest, state: ReserveState): number {
        const { service, rank, ranks } = request;
        const { now, nodeCount, holdMilliseconds } = state;
        let known = this.knownShares.get(service);
        if (known === undefined || now - known.at >= maximumAgeMilliseconds || known.shares.length !== ranks.length) {
            const demands = ranks.map(other => this.demands.getTotal(service, other, nodeCount, now));
            const capacity = holdMilliseconds === undefined
                ? Infinity
                : usableMemoryFraction * state.getTimelyTokens() * secondMilliseconds / Math.max(1, holdMilliseconds);
            const shares = computeAdmittedShares(demands, capacity);
            known = { shares, at: now, loggedShares: known?.loggedShares ?? shares.map(() => 1) };
            this.knownShares.set(service, known);
            this.logShares(request, known, capacity);
        }
        return known.shares[ranks.indexOf(rank)] ?? 1;
    }

    private logShares({ requestId, service, ranks }: RankedRequest, known: KnownShares, capacity: number): void {
        const { shares, loggedShares, at } = known;
        const isChanged = shares.some((share, index) => Math.abs(share - (loggedShares[index] ?? 1)) > loggedChange);
        if (!isChanged || at - this.loggedAt < reportIntervalMilliseconds) {
            return;
        }
        this.loggedAt = at;
        known.loggedShares = shares;
        this.options.log.write(events.rankReserveChanged, {
            request: requestId,
            service,
            ranks: ranks.join(" "),
            shares: shares.map(round).join(" "),
            before: loggedShares.map(round).join(" "),
            reportAgeMilliseconds: this.demands.getOldestReportAge(at),
            capacityTokensPerSecond: Math.round(capacity),
        });
    }

    /** Gets the fraction that was last computed for requests of this kind, 0 if none was. */
    getLastFraction({ service, rank }: Pick<RankedRequest, "service" | "rank">): number {
        return this.known.get(getKey(service, rank))?.fraction ?? 0;
    }

    /** Lists the reserves that were last computed. They are computed only as requests arrive or wait. */
    listReserves(now: number): ReserveStatus[] {
        return [...this.known.values()].map(({ service, rank, fraction, at, since }) => ({
            service,
            rank,
            fraction: round(fraction),
            heldMilliseconds: since === undefined ? undefined : Math.round(now - since),
            ageMilliseconds: Math.round(now - at),
        }));
    }

    private reportShare(service: string, rank: number, nodeCount: number, now: number): void {
        const { onAdmittedShare } = this.options;
        if (
            onAdmittedShare === undefined
            || now - (this.sharesReportedAt.get(rank) ?? -Infinity) < reportIntervalMilliseconds
        ) {
            return;
        }
        this.sharesReportedAt.set(rank, now);
        const { demand, admitted } = this.demands.getTotal(service, rank, nodeCount, now);
        onAdmittedShare(rank, demand > 0 ? Math.min(1, admitted / demand) : 1);
    }
}

function getKey(service: string, rank: number): string {
    return `${rank} ${service}`;
}

function round(fraction: number): number {
    return Math.round(fraction * 1_000) / 1_000;
}
