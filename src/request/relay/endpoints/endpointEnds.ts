import { LRUCache } from "lru-cache";
import type { PossibleRun } from "../possibleRun.ts";
import type { RegisteredEndpoint } from "./registeredEndpoint.ts";

/** Refused connections to an address. Times are monotonic, in milliseconds; -Infinity if there was none. */
interface Refusals {
    lastAt: number;
    /** The last one while the endpoint at the address was listed and not leaving. */
    lastWhileReadyAt: number;
}

/** The latest start under an id or at an address. */
interface KnownStart {
    incarnation: number;
    /** Monotonic time in milliseconds at which this node learned of it. */
    learnedAt: number;
}

/** Number of addresses and ids to remember: several times the endpoints of a large deployment. */
const maximumRemembered = 10_000;

/**
 * The proofs that processes of endpoints have ended. Either a connection to the port of an endpoint is refused, or another process has
 * started under its id or at its address. Anything else, such as silence, a missing record or an unreachable machine, proves nothing: the
 * process may go on running its requests.
 *
 * A leaving process may stop listening before its requests are done. Until it has also closed the connection of a run, a refused connection
 * doesn't prove that this run has ended.
 */
export class EndpointEnds {
    private readonly refusals = new LRUCache<string, Refusals>({ max: maximumRemembered });
    /** By registered id and by address. */
    private readonly starts = new LRUCache<string, KnownStart>({ max: 2 * maximumRemembered });

    private constructor() {}

    /** Creates an instance without proofs. */
    static create(): EndpointEnds {
        return new EndpointEnds();
    }

    /**
     * Records that a connection was refused by a machine on which no process listens.
     * @param address - host:port of the endpoint.
     * @param isReady - Whether the endpoint is known to accept requests, so that it isn't leaving.
     * @param now - Monotonic time in milliseconds.
     */
    noteRefusal(address: string, isReady: boolean, now: number): void {
        const known = this.refusals.get(address);
        const lastWhileReadyAt = isReady ? now : known?.lastWhileReadyAt ?? -Infinity;
        this.refusals.set(address, { lastAt: now, lastWhileReadyAt });
    }

    /** Records that an endpoint is known to have started. */
    noteStart({ registeredId, address, incarnation }: RegisteredEndpoint, now: number): void {
        for (const key of [registeredId, address]) {
            if (incarnation > (this.starts.get(key)?.incarnation ?? -1)) {
                this.starts.set(key, { incarnation, learnedAt: now });
            }
        }
    }

    /** Checks if it is proven that the process that may run a request has ended since it got the request. */
    hasEnded({ endpoint, isBroken, getSentTime }: PossibleRun): boolean {
        const sentAt = getSentTime() ?? Infinity;
        const refusals = this.refusals.get(endpoint.address);
        const refusedAt = (isBroken ? refusals?.lastAt : refusals?.lastWhileReadyAt) ?? -Infinity;
        return refusedAt > sentAt
            || [endpoint.registeredId, endpoint.address].some(key => isLater(this.starts.get(key), endpoint, sentAt));
    }
}

/** Checks if a start followed that of an endpoint. One that was known when the request was sent is that of an earlier process. */
function isLater(start: KnownStart | undefined, { incarnation }: RegisteredEndpoint, sentAt: number): boolean {
    return start !== undefined && incarnation !== 0 && start.incarnation > incarnation && start.learnedAt > sentAt;
}
