import type { DataCentreLink } from "./dataCentreLink.ts";
import { formatDataCentreLink } from "./formatDataCentreLink.ts";

/** A link that a request could not use, and the time in milliseconds until it can. */
interface BlockedLink extends DataCentreLink {
    wait: number;
}

/** Time for which searches for chains may be skipped after one has failed. */
const blockMilliseconds = 50;
/** Maximum time for which retries of refused callers are booked ahead. Later ones would find other conditions. */
const maximumBookingMilliseconds = 5_000;

/** Knows which link keeps the requests of a service from starting, and books its capacity for the retries of refused callers. */
export class LinkRetries {
    private readonly blocks = new Map<string, { block: BlockedLink | undefined; at: number; }>();
    /** Monotonic time in milliseconds up to which the capacity of each link is booked. */
    private readonly bookedUntil = new Map<string, number>();

    private constructor() {}

    /** Creates an instance that knows of no blocked link. */
    static create(): LinkRetries {
        return new LinkRetries();
    }

    /** Records the link that keeps a service's requests from starting, or that none does. */
    noteBlock(service: string, block: BlockedLink | undefined, now: number): void {
        this.blocks.set(service, { block, at: now });
    }

    /** Gets the link that recently kept a service's requests from starting; undefined if none did. */
    getBlock(service: string, now: number): BlockedLink | undefined {
        const known = this.blocks.get(service);
        return known !== undefined && now - known.at <= blockMilliseconds ? known.block : undefined;
    }

    /**
     * Books capacity of a link for a retry.
     * @param link - The link.
     * @param waitMilliseconds - Time until it has capacity.
     * @param occupancyMilliseconds - Time for which the request occupies this node's share of it.
     * @param now - Monotonic time in milliseconds.
     * @returns The retry delay in milliseconds.
     */
    book({ from, to }: DataCentreLink, waitMilliseconds: number, occupancyMilliseconds: number, now: number): number {
        const key = formatDataCentreLink(from, to);
        const at = Math.max(now + waitMilliseconds, this.bookedUntil.get(key) ?? now);
        this.bookedUntil.set(key, Math.min(now + maximumBookingMilliseconds, at + occupancyMilliseconds));
        return at - now;
    }
}
