import type { EventLog } from "../../../process/logging/eventLog.ts";
import { events } from "../../../process/logging/events.ts";
import type { RandomSource } from "../../../process/randomSource.ts";
import { PeerDemands } from "../../admission/peerDemands.ts";
import { ReturnSchedule } from "../../admission/returnSchedule.ts";
import { SmoothedRate } from "../../admission/smoothedRate.ts";
import type { RegisteredEndpoint } from "../registeredEndpoint.ts";
import type { EndpointLimit } from "./endpointLimit.ts";
import { LimitQuota } from "./limitQuota.ts";
import type { LimitReport } from "./limitReport.ts";
import type { LimitSharers } from "./limitSharers.ts";

/** Options of {@link EndpointLimits}. */
interface EndpointLimitsOptions {
    log: EventLog;
    random: RandomSource;
    /**
     * Chooses the nodes that share an endpoint's limit, the same ones at all nodes.
     * @param endpoint - The endpoint.
     * @param most - Most nodes that may.
     */
    chooseSharers(endpoint: Pick<RegisteredEndpoint, "id" | "dataCentre">, most: number): LimitSharers;
    /** Called when a limit has begun, changed by much or ended, which the peers should know at once. */
    onNews?(): void;
}

/** Where a node has a limit from. */
type LimitSource = "answer" | "peer";

/** An endpoint that names a limit, or did a moment ago. */
interface KnownLimit extends EndpointLimit {
    quota: LimitQuota;
    /** What this node would send to the endpoint without the limit. */
    demand: SmoothedRate;
    /** The endpoint, once this node has asked for a place there. */
    endpoint: RegisteredEndpoint | undefined;
}

/**
 * Demands are measured over several exchanges with peers: where they change at all nodes at once, as after the loss of another endpoint,
 * each would else take the greater part for its own until it hears of the others.
 */
const memoryMilliseconds = 5_000;
/** Part of a limit that is given out by time. Demands are known a moment late, and with them the parts. */
const usablePart = 0.8;
/** So many requests, and what the limit allows in so many seconds, all nodes together may have saved up for requests that come at once. */
const savedRequests = 4;
const savedSeconds = 1.5;
/** An endpoint that takes hardly anything is sent this all the same, or nobody would learn that its limit has ended. */
const leastRequestsPerSecond = 0.25;
/** An endpoint that few requests would go to is taken to be wished for by this part of all those of its service. */
const leastDemandPart = 1 / 4;
/** The end of a limit is told for this long. */
const endedMilliseconds = 10_000;
/** What a peer says seems newer than it is by the time that it was on its way. */
const wayMilliseconds = 50;
/** A change by more than this part is told at once. */
const newsPart = 0.2;
const secondMilliseconds = 1_000;

/**
 * Keeps the requests that all nodes together send to an endpoint within what it says it takes.
 *
 * The load that it answers: an endpoint in need names in its answers how many requests a second it takes from all nodes together, far
 * fewer than it got before. Nodes tell each other of the limit and of what they would send there, and each has its part by that, which
 * fills with time; what goes beyond it goes elsewhere. No node asks another before it decides. What all may have saved up together is
 * bounded: where there are more nodes than that, some of them share the limit, and the others send the endpoint nothing.
 */
export class EndpointLimits {
    private readonly options: EndpointLimitsOptions;
    private readonly limits = new Map<string, KnownLimit>();
    private readonly peers = PeerDemands.create();
    private readonly arrivals = new Map<string, SmoothedRate>();
    private readonly returns: ReturnSchedule;

    private constructor(options: EndpointLimitsOptions) {
        this.options = options;
        this.returns = ReturnSchedule.create(options.random);
    }

    /** Creates a record without limits. */
    static create(options: EndpointLimitsOptions): EndpointLimits {
        return new EndpointLimits(options);
    }

    /**
     * Notes what an answer of an endpoint says of its limit.
     * @param endpointId - The endpoint.
     * @param requestsPerSecond - The limit; undefined where the answer names none, so that there is none any more.
     * @param now - Monotonic time in milliseconds.
     */
    noteAnswer(endpointId: string, requestsPerSecond: number | undefined, now: number): void {
        if (requestsPerSecond !== undefined || this.limits.has(endpointId)) {
            this.learn({ endpointId, requestsPerSecond, at: now }, "answer", now);
        }
    }

    /**
     * Takes what a peer knows of limits, and what it would send to these endpoints; replaces what it said before.
     * @param nodeId - The peer.
     * @param reports - All that it says.
     * @param now - Monotonic time in milliseconds.
     */
    takeReports(nodeId: string, reports: readonly LimitReport[], now: number): void {
        this.peers.expire(now);
        this.peers.apply(nodeId, reports.map(({ endpointId, demand }) => [endpointId, demand] as const), now);
        for (const { endpointId, requestsPerSecond, at } of reports) {
            if (at > (this.limits.get(endpointId)?.at ?? -Infinity) + wayMilliseconds) {
                this.learn({ endpointId, requestsPerSecond, at }, "peer", now);
            }
        }
    }

    /** Lists what this node knows of limits, and what it would send to these endpoints, for the peers. */
    listReports(now: number): LimitReport[] {
        const reports: LimitReport[] = [];
        for (const known of this.limits.values()) {
            const { endpointId, requestsPerSecond, at } = known;
            if (requestsPerSecond === undefined && now - at > endedMilliseconds) {
                this.limits.delete(endpointId);
                continue;
            }
            reports.push({ endpointId, requestsPerSecond, at, demand: this.getDemand(known, now) });
        }
        return reports;
    }

    /** Counts a request for a service, which asks for a place at its endpoints. */
    noteRequest(service: string, now: number): void {
        const rate = this.arrivals.get(service) ?? SmoothedRate.create(memoryMilliseconds, now);
        this.arrivals.set(service, rate);
        rate.observe(now);
    }

    /** Whether the endpoint names a limit now. */
    isLimited(endpointId: string): boolean {
        return this.limits.get(endpointId)?.requestsPerSecond !== undefined;
    }

    /**
     * Takes a request for an endpoint that it would be sent to out of this node's part of the endpoint's limit.
     * @returns False where there is none left; the request goes elsewhere.
     */
    take(endpoint: RegisteredEndpoint, now: number): boolean {
        const known = this.limits.get(endpoint.id);
        if (known?.requestsPerSecond === undefined) {
            return true;
        }
        known.endpoint = endpoint;
        known.demand.observe(now);
        return known.quota.take(this.getPart(known, known.requestsPerSecond, now), now);
    }

    /** Gives back what {@link take} took and was not sent. */
    giveBack(endpointId: string): void {
        this.limits.get(endpointId)?.quota.giveBack();
    }

    /**
     * Gets when a caller should come back whose request only limits of endpoints held up, in milliseconds from now.
     * @param endpointIds - The endpoints that it was not sent to.
     * @param now - Monotonic time in milliseconds.
     */
    bookReturn(endpointIds: Iterable<string>, now: number): number {
        let passedPerSecond = 0;
        for (const id of endpointIds) {
            const known = this.limits.get(id);
            if (known?.requestsPerSecond !== undefined) {
                passedPerSecond += this.getPart(known, known.requestsPerSecond, now).requestsPerSecond;
            }
        }
        return this.returns.book({ cost: 1, rate: passedPerSecond / secondMilliseconds, excessMilliseconds: 0, now });
    }

    /** Forgets endpoints that are not registered any more. */
    retain(endpointIds: ReadonlySet<string>): void {
        for (const endpointId of this.limits.keys()) {
            if (!endpointIds.has(endpointId)) {
                this.limits.delete(endpointId);
            }
        }
    }

    private learn({ endpointId, requestsPerSecond, at }: EndpointLimit, source: LimitSource, now: number): void {
        const { log, random, onNews } = this.options;
        const known = this.limits.get(endpointId);
        const before = known?.requestsPerSecond;
        const { quota, demand, endpoint } = known ?? {
            // Else all nodes would hold their first request at the same moment.
            quota: LimitQuota.create(random(), now),
            demand: SmoothedRate.create(memoryMilliseconds, now),
            endpoint: undefined,
        };
        this.limits.set(endpointId, { endpointId, requestsPerSecond, at, quota, demand, endpoint });
        if (before === requestsPerSecond) {
            return;
        }
        log.write(events.endpointLimited, {
            endpoint: endpointId,
            isLimited: requestsPerSecond !== undefined,
            requestsPerSecond: requestsPerSecond ?? 0,
            before: before ?? 0,
            source,
        });
        if (isNews(before, requestsPerSecond)) {
            onNews?.();
        }
    }

    /** Gets this node's part of a limit. */
    private getPart(known: KnownLimit, limit: number, now: number) {
        const saved = savedRequests + limit * savedSeconds;
        const sharers = known.endpoint && this.options.chooseSharers(known.endpoint, Math.floor(saved));
        if (sharers?.isOneOfThem !== true) {
            return { requestsPerSecond: 0, burst: 0 };
        }
        const share = sharers.areAll ? this.getDemandPart(known, sharers.count, now) : 1 / sharers.count;
        return {
            requestsPerSecond: Math.max(leastRequestsPerSecond, limit * usablePart) * share,
            burst: 1 + Math.max(0, saved - sharers.count) * share,
        };
    }

    /** Gets this node's part of what all nodes would send to an endpoint. */
    private getDemandPart(known: KnownLimit, nodeCount: number, now: number): number {
        const own = this.getDemand(known, now);
        const others = this.peers.estimateTotal(known.endpointId, nodeCount - 1);
        return this.peers.peerCount > 0 && own + others > 0 ? own / (own + others) : 1 / nodeCount;
    }

    /** Gets what this node would send to an endpoint, in requests a second. */
    private getDemand({ demand, endpoint }: KnownLimit, now: number): number {
        const arrivals = this.arrivals.get(endpoint?.service ?? "")?.getPerSecond(now) ?? 0;
        return Math.max(demand.getPerSecond(now), arrivals * leastDemandPart);
    }
}

function isNews(before: number | undefined, requestsPerSecond: number | undefined): boolean {
    return before === undefined || requestsPerSecond === undefined
        || Math.abs(requestsPerSecond - before) > before * newsPart;
}
