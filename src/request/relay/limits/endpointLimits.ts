import type { EventLog } from "../../../process/logging/eventLog.ts";
import { events } from "../../../process/logging/events.ts";
import type { RandomSource } from "../../../process/randomSource.ts";
import { PeerDemands } from "../../admission/peerDemands.ts";
import { RetrySchedule } from "../../admission/retrySchedule.ts";
import { SmoothedRate } from "../../admission/smoothedRate.ts";
import type { RegisteredEndpoint } from "../endpoints/registeredEndpoint.ts";
import type { EndpointLimit } from "./endpointLimit.ts";
import { LimitQuota } from "./limitQuota.ts";
import type { LimitReport } from "./limitReport.ts";
import type { LimitSharers } from "./limitSharers.ts";

/** Options of {@link EndpointLimits}. */
interface EndpointLimitsOptions {
    log: EventLog;
    random: RandomSource;
    /**
     * Chooses the nodes that share an endpoint's limit. All nodes choose the same ones.
     * @param endpoint - The endpoint.
     * @param maximumNodes - Maximum number of nodes.
     */
    chooseSharers(endpoint: Pick<RegisteredEndpoint, "id" | "dataCentre">, maximumNodes: number): LimitSharers;
    /** Called when peers should be informed at once, because a limit has started, changed considerably or ended. */
    onSignificantChange?(): void;
}

/** Source of a node's information about a limit. */
type LimitSource = "answer" | "peer";

/** Limit of an endpoint that states one, or did so recently. */
interface KnownLimit extends EndpointLimit {
    quota: LimitQuota;
    /** Requests that this node would send to the endpoint without the limit. */
    demand: SmoothedRate;
    /** The endpoint, once this node has tried to send it a request. */
    endpoint: RegisteredEndpoint | undefined;
}

/**
 * Averaging time of demands, which covers several exchanges with peers. When demand rises at all nodes at once, as after the
 * failure of another endpoint, each node would otherwise claim most of the limit until it learns of the others' demand.
 */
const averagingMilliseconds = 5_000;
/** Fraction of a limit that quotas are refilled with. The rest is a margin, since nodes know demands and shares with a delay. */
const refillFraction = 0.8;
/** The burst of all nodes together is this number of requests plus what the limit allows in `burstSeconds`. */
const burstRequests = 4;
const burstSeconds = 1.5;
/** Minimum rate to an endpoint with a very low limit: without any requests, nodes wouldn't learn that the limit has ended. */
const minimumRequestsPerSecond = 0.25;
/** Minimum demand for an endpoint, as a fraction of the requests for its service. */
const minimumDemandFraction = 1 / 4;
/** Time for which the end of a limit is reported to peers. */
const endedLimitReportMilliseconds = 10_000;
/** Tolerance for the network delay of a report, by which it appears newer than it is. */
const networkDelayToleranceMilliseconds = 50;
/** Relative change of a limit above which peers are informed at once. */
const significantChangeFraction = 0.2;
const secondMilliseconds = 1_000;

/**
 * Keeps the requests that all nodes together send to an endpoint within its rate limit.
 *
 * An overloaded endpoint states in its answers how many requests per second it accepts from all nodes together, which may be
 * far fewer than before. Nodes report the limit and their demand to each other, and each has a token bucket with its share of
 * the limit according to demand. Requests that find it empty go to other endpoints. Nodes don't coordinate before a decision.
 * The burst of all nodes together is bounded. If there are more nodes than that, only some of them share the limit, and the
 * others send nothing to the endpoint.
 */
export class EndpointLimits {
    private readonly options: EndpointLimitsOptions;
    private readonly limits = new Map<string, KnownLimit>();
    private readonly peerDemands = PeerDemands.create();
    private readonly arrivals = new Map<string, SmoothedRate>();
    private readonly retrySchedule: RetrySchedule;

    private constructor(options: EndpointLimitsOptions) {
        this.options = options;
        this.retrySchedule = RetrySchedule.create(options.random);
    }

    /** Creates an instance without limits. */
    static create(options: EndpointLimitsOptions): EndpointLimits {
        return new EndpointLimits(options);
    }

    /**
     * Records the limit that an endpoint's answer states.
     * @param endpointId - The endpoint.
     * @param requestsPerSecond - The limit; undefined if the answer states none, which ends an earlier limit.
     * @param now - Monotonic time in milliseconds.
     */
    noteAnswer(endpointId: string, requestsPerSecond: number | undefined, now: number): void {
        if (requestsPerSecond !== undefined || this.limits.has(endpointId)) {
            this.updateLimit({ endpointId, requestsPerSecond, at: now }, "answer", now);
        }
    }

    /**
     * Applies a peer's reports about limits and its demand, replacing its previous demand.
     * @param nodeId - The peer.
     * @param reports - All reports of the peer.
     * @param now - Monotonic time in milliseconds.
     */
    applyReports(nodeId: string, reports: readonly LimitReport[], now: number): void {
        this.peerDemands.expire(now);
        this.peerDemands.apply(nodeId, reports.map(({ endpointId, demand }) => [endpointId, demand] as const), now);
        for (const { endpointId, requestsPerSecond, at } of reports) {
            if (at > (this.limits.get(endpointId)?.at ?? -Infinity) + networkDelayToleranceMilliseconds) {
                this.updateLimit({ endpointId, requestsPerSecond, at }, "peer", now);
            }
        }
    }

    /** Lists this node's reports for its peers, with the known limits and its demand. */
    listReports(now: number): LimitReport[] {
        const reports: LimitReport[] = [];
        for (const known of this.limits.values()) {
            const { endpointId, requestsPerSecond, at } = known;
            if (requestsPerSecond === undefined && now - at > endedLimitReportMilliseconds) {
                this.limits.delete(endpointId);
                continue;
            }
            reports.push({ endpointId, requestsPerSecond, at, demand: this.getDemand(known, now) });
        }
        return reports;
    }

    /** Counts a request for a service, as demand for its endpoints. */
    noteRequest(service: string, now: number): void {
        const rate = this.arrivals.get(service) ?? SmoothedRate.create(averagingMilliseconds, now);
        this.arrivals.set(service, rate);
        rate.observe(now);
    }

    /** Checks if the endpoint currently has a limit. */
    isLimited(endpointId: string): boolean {
        return this.limits.get(endpointId)?.requestsPerSecond !== undefined;
    }

    /**
     * Takes a request out of this node's share of an endpoint's limit.
     * @returns False if the share is used up, so that the request must go to another endpoint.
     */
    take(endpoint: RegisteredEndpoint, now: number): boolean {
        const known = this.limits.get(endpoint.id);
        if (known?.requestsPerSecond === undefined) {
            return true;
        }
        known.endpoint = endpoint;
        known.demand.observe(now);
        return known.quota.take(this.getShare(known, known.requestsPerSecond, now), now);
    }

    /** Returns a request that was taken with {@link take} but not sent. */
    refund(endpointId: string): void {
        this.limits.get(endpointId)?.quota.refund();
    }

    /**
     * Books a retry of a request that was refused only because of limits, and gets the delay until it in milliseconds.
     * @param endpointIds - The endpoints that were skipped because of their limits.
     * @param now - Monotonic time in milliseconds.
     */
    bookRetry(endpointIds: Iterable<string>, now: number): number {
        let availableRequestsPerSecond = 0;
        for (const id of endpointIds) {
            const known = this.limits.get(id);
            if (known?.requestsPerSecond !== undefined) {
                availableRequestsPerSecond += this.getShare(known, known.requestsPerSecond, now).requestsPerSecond;
            }
        }
        return this.retrySchedule.schedule({
            cost: 1,
            rate: availableRequestsPerSecond / secondMilliseconds,
            baseDelayMilliseconds: 0,
            now,
        });
    }

    /** Removes endpoints that are no longer registered. */
    retain(endpointIds: ReadonlySet<string>): void {
        for (const endpointId of this.limits.keys()) {
            if (!endpointIds.has(endpointId)) {
                this.limits.delete(endpointId);
            }
        }
    }

    private updateLimit({ endpointId, requestsPerSecond, at }: EndpointLimit, source: LimitSource, now: number): void {
        const { log, random, onSignificantChange } = this.options;
        const known = this.limits.get(endpointId);
        const previous = known?.requestsPerSecond;
        const { quota, demand, endpoint } = known ?? {
            // A random fill level, so that the quotas of all nodes don't reach their first request at the same moment.
            quota: LimitQuota.create(random(), now),
            demand: SmoothedRate.create(averagingMilliseconds, now),
            endpoint: undefined,
        };
        this.limits.set(endpointId, { endpointId, requestsPerSecond, at, quota, demand, endpoint });
        if (previous === requestsPerSecond) {
            return;
        }
        log.write(events.endpointLimitChanged, {
            endpoint: endpointId,
            isLimited: requestsPerSecond !== undefined,
            requestsPerSecond: requestsPerSecond ?? 0,
            before: previous ?? 0,
            source,
        });
        if (isSignificantChange(previous, requestsPerSecond)) {
            onSignificantChange?.();
        }
    }

    /** Gets the refill rate and the burst of this node's share of a limit. */
    private getShare(known: KnownLimit, limit: number, now: number) {
        const totalBurst = burstRequests + limit * burstSeconds;
        const sharers = known.endpoint && this.options.chooseSharers(known.endpoint, Math.floor(totalBurst));
        if (sharers?.includesThisNode !== true) {
            return { requestsPerSecond: 0, burst: 0 };
        }
        const share = sharers.includesAllNodes ? this.getDemandShare(known, sharers.count, now) : 1 / sharers.count;
        return {
            requestsPerSecond: Math.max(minimumRequestsPerSecond, limit * refillFraction) * share,
            burst: 1 + Math.max(0, totalBurst - sharers.count) * share,
        };
    }

    /** Gets this node's share of the demand of all nodes for an endpoint. */
    private getDemandShare(known: KnownLimit, nodeCount: number, now: number): number {
        const own = this.getDemand(known, now);
        const others = this.peerDemands.estimateTotal(known.endpointId, nodeCount - 1);
        return this.peerDemands.peerCount > 0 && own + others > 0 ? own / (own + others) : 1 / nodeCount;
    }

    /** Gets this node's demand for an endpoint, in requests per second. */
    private getDemand({ demand, endpoint }: KnownLimit, now: number): number {
        const arrivals = this.arrivals.get(endpoint?.service ?? "")?.getPerSecond(now) ?? 0;
        return Math.max(demand.getPerSecond(now), arrivals * minimumDemandFraction);
    }
}

function isSignificantChange(before: number | undefined, requestsPerSecond: number | undefined): boolean {
    return before === undefined || requestsPerSecond === undefined
        || Math.abs(requestsPerSecond - before) > before * significantChangeFraction;
}
