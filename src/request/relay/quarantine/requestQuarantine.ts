import { LRUCache } from "lru-cache";
import type { EventLog } from "../../../process/logging/eventLog.ts";
import { events } from "../../../process/logging/events.ts";
import type { EndedRun } from "./endedRun.ts";
import type { RequestHold } from "./requestHold.ts";

/** Options of a {@link RequestQuarantine}. */
interface RequestQuarantineOptions {
    log: EventLog;
    /** Gets the monotonic time in milliseconds of an endpoint's last sign of life; -Infinity where none is known. */
    getAliveTime(endpointId: string): number;
    /** Called when an endpoint seems to have ended, which peers must hear at once, and whether its request is held back. */
    onEnded?(isHeldBack: boolean): void;
}

/** Ended endpoints by their id, with the time at which their connection broke. */
type EndedEndpoints = Map<string, number>;

/**
 * So many endpoints must have ended under a request. One says little: all that it was just beginning to run are suspected,
 * and nearly all of them are innocent. To go on after the second costs one endpoint more for each sending.
 */
const fewestEndpoints = 2;
/** After more than the fewest endpoints it isn't by chance. */
const certainEndpoints = 3;
/** An innocent request that was with a harmful one twice is tried again after this time. */
const shortHoldMilliseconds = 60_000;
const longHoldMilliseconds = 600_000;
/** What an endpoint sent before it ended may still be read for this long, and is no sign that it lives. */
const lateReadingMilliseconds = 500;
/** All nodes hear of a suspicion within this time, after which only requests that are held back are told of. */
const newsMilliseconds = 5_000;
/** Bound on a message between nodes, and on what is kept in the store. */
const mostListedRuns = 100;
/** Bounds on what is remembered, in requests. */
const mostSuspects = 1_000;
const mostServed = 4_096;

/**
 * Remembers under which requests endpoints ended, whichever node and whichever sending of the caller it was, and holds a
 * request back that ends the endpoints which run it. Without this it is sent to one endpoint after the other, by repeats of
 * the nodes and of its caller, until none is left that chains begin with.
 */
export class RequestQuarantine {
    private readonly options: RequestQuarantineOptions;
    /** By fingerprint. */
    private readonly suspects = new LRUCache<string, EndedEndpoints>({ max: mostSuspects });
    /** Fingerprints of requests that an endpoint has run and outlived: whatever ended others, it was not these. */
    private readonly served = new LRUCache<string, true>({ max: mostServed });

    private constructor(options: RequestQuarantineOptions) {
        this.options = options;
    }

    /** Creates a quarantine without requests. */
    static create(options: RequestQuarantineOptions): RequestQuarantine {
        return new RequestQuarantine(options);
    }

    /**
     * Notes that an endpoint seems to have ended while it began to run a request. This counts until the endpoint shows that
     * it lives.
     * @param run - What was seen.
     * @param requestId - Id of this sending, for the log.
     */
    noteEnded(run: EndedRun, requestId: string): void {
        if (!this.add(run)) {
            return;
        }
        const { fingerprint, endpointId, at } = run;
        const isHeldBack = this.getHold(fingerprint, at) !== undefined;
        const details = { request: requestId, fingerprint, endpoint: endpointId, isHeldBack };
        this.options.log.write(events.endpointEndedUnderRequest, details);
        this.options.onEnded?.(isHeldBack);
    }

    /** Takes over what a peer has seen. */
    takeRun(run: EndedRun): void {
        this.add(run);
    }

    /** Notes that an endpoint has run a request and lives on, which clears it of all suspicion. */
    noteServed(fingerprint: string): void {
        this.suspects.delete(fingerprint);
        this.served.set(fingerprint, true);
    }

    /**
     * Gets why a request isn't sent on; undefined where it may be.
     * @param fingerprint - What it is recognized by.
     * @param now - Monotonic time in milliseconds.
     */
    getHold(fingerprint: string, now: number): RequestHold | undefined {
        const endpoints = this.suspects.get(fingerprint);
        return endpoints === undefined ? undefined : this.findHold(endpoints, now);
    }

    /** Gets what peers have to know: what is new, and all of requests that are held back, for nodes that have just started. */
    getRuns(now: number): EndedRun[] {
        return this.listRuns(now, newsMilliseconds);
    }

    /** Gets what is known of the requests that are held back. */
    getHeldRuns(now: number): EndedRun[] {
        return this.listRuns(now, 0);
    }

    /** Lists the runs of requests that are held back, and all that ended lately. */
    private listRuns(now: number, youngerThanMilliseconds: number): EndedRun[] {
        const runs: EndedRun[] = [];
        for (const [fingerprint, endpoints] of this.suspects.entries()) {
            const isHeld = this.findHold(endpoints, now) !== undefined;
            for (const [endpointId, at] of endpoints) {
                if (isHeld || now - at < youngerThanMilliseconds) {
                    runs.push({ fingerprint, endpointId, at });
                }
            }
            if (runs.length >= mostListedRuns) {
                break;
            }
        }
        return runs;
    }

    /** Whether this was news. */
    private add({ fingerprint, endpointId, at }: EndedRun): boolean {
        const endpoints: EndedEndpoints = this.suspects.get(fingerprint) ?? new Map();
        if (this.served.has(fingerprint) || endpoints.has(endpointId)) {
            return false;
        }
        endpoints.set(endpointId, at);
        this.suspects.set(fingerprint, endpoints);
        return true;
    }

    private findHold(endpoints: EndedEndpoints, now: number): RequestHold | undefined {
        this.forgetAlive(endpoints, now);
        if (endpoints.size < fewestEndpoints) {
            return undefined;
        }
        const hold = endpoints.size < certainEndpoints ? shortHoldMilliseconds : longHoldMilliseconds;
        const remainingMilliseconds = Math.max(...endpoints.values()) + hold - now;
        return remainingMilliseconds > 0 ? { endpointIds: [...endpoints.keys()], remainingMilliseconds } : undefined;
    }

    /** Forgets endpoints that have shown that they live, and those that ended long ago. */
    private forgetAlive(endpoints: EndedEndpoints, now: number): void {
        for (const [endpointId, at] of endpoints) {
            const isAlive = this.options.getAliveTime(endpointId) > at + lateReadingMilliseconds;
            if (isAlive || now - at > longHoldMilliseconds) {
                endpoints.delete(endpointId);
            }
        }
    }
}
