import { isRefusedFailure } from "./isRefusedFailure.ts";

/** What is known of the connections to an address. */
interface PathRecord {
    /** Monotonic time in milliseconds since which no direct connection could be opened; undefined if the last one was. */
    failingSince: number | undefined;
    /** Monotonic time in milliseconds of the last attempt to open a direct one. */
    triedAt: number;
    /** Monotonic time in milliseconds at which the peers that were asked could not connect to it either. */
    peersFailedAt: number;
}

/** How a connection to an address is opened. */
interface OpenPlan {
    /** Whether a direct connection is tried at once. */
    isDirect: boolean;
    /** Time in milliseconds after which a peer is asked, unless the connection is open by then. */
    peerDelayMilliseconds: number;
}

/** Options of {@link EndpointPaths}. */
interface EndpointPathsOptions {
    /** Called when an address becomes unreachable or reachable, with why it failed. */
    onChanged(address: string, failure: string | undefined): void;
    /** Called when a connection was refused by the machine at an address, on which no process listens. */
    onRefused(address: string): void;
    /** Called when a connection to an endpoint that nobody could open has proven that the endpoint is down, see `OpeningFailure`. */
    onDown?(address: string): void;
}

/** Connections open within a few milliseconds. A connection that needs longer is overdue, and a peer may be faster. */
const directHeadStartMilliseconds = 60;
/** Interval at which a direct connection to an unreachable address is tried again. */
const retryIntervalMilliseconds = 700;
/** Time for which peers are not asked again for an address that they could not connect to. */
const peerFailureMilliseconds = 1_000;
/** Addresses that fail within this time of each other suggest a common cause: the links of this node. */
const coincidenceMilliseconds = 1_000;
const minimumCoincidences = 2;

/**
 * Tracks which endpoints this node can connect to over its own links, and decides how connections to them are opened. An
 * endpoint that this node can't connect to may be alive: peers may reach it.
 */
export class EndpointPaths {
    private readonly records = new Map<string, PathRecord>();
    private readonly options: EndpointPathsOptions;
    private failingCount = 0;

    private constructor(options: EndpointPathsOptions) {
        this.options = options;
    }

    /** Creates an instance in which all addresses are reachable. */
    static create(options: EndpointPathsOptions): EndpointPaths {
        return new EndpointPaths(options);
    }

    /** Records that a direct connection to an address was opened. */
    recordOpened(address: string, now: number): void {
        const record = this.getRecord(address);
        record.triedAt = now;
        record.peersFailedAt = -Infinity;
        if (record.failingSince !== undefined) {
            record.failingSince = undefined;
            this.failingCount -= 1;
            this.options.onChanged(address, undefined);
        }
    }

    /** Records that a direct connection to an address could not be opened, or not before one through a peer. */
    recordFailed(address: string, failure: string, now: number): void {
        const record = this.getRecord(address);
        record.triedAt = now;
        this.noteFailure(address, failure);
        if (record.failingSince === undefined) {
            record.failingSince = now;
            this.failingCount += 1;
            this.options.onChanged(address, failure);
        }
    }

    /** Records why this node or a peer could not open a connection, which may tell that the endpoint has ended. */
    noteFailure(address: string, failure: string): void {
        if (isRefusedFailure(failure)) {
            this.options.onRefused(address);
        }
    }

    /** Records that neither this node nor a peer could connect to an address, and that this proves that the endpoint is down. */
    recordDown(address: string): void {
        this.options.onDown?.(address);
    }

    /** Records that no peer could connect to an address either. */
    recordPeersFailed(address: string, now: number): void {
        this.getRecord(address).peersFailedAt = now;
    }

    /** Checks if a peer may be asked to connect to an address. */
    mayAskPeers(address: string, now: number): boolean {
        const { peersFailedAt } = this.records.get(address) ?? { peersFailedAt: -Infinity };
        return now - peersFailedAt >= peerFailureMilliseconds;
    }

    /** Decides how a connection to an address is opened. */
    planOpen(address: string, now: number): OpenPlan {
        const record = this.records.get(address);
        if (record?.failingSince !== undefined) {
            return { isDirect: now - record.triedAt >= retryIntervalMilliseconds, peerDelayMilliseconds: 0 };
        }
        return { isDirect: true, peerDelayMilliseconds: directHeadStartMilliseconds };
    }

    /** Gets the monotonic time in milliseconds since which an address is unreachable; undefined if it is reachable. */
    getFailingSince(address: string): number | undefined {
        return this.records.get(address)?.failingSince;
    }

    /** Gets the number of addresses that are unreachable. */
    getFailingCount(): number {
        return this.failingCount;
    }

    /** Gets the fraction of the addresses tried that are unreachable, 0 to 1. */
    getFailingFraction(): number {
        return this.records.size === 0 ? 0 : this.failingCount / this.records.size;
    }

    /** Checks if several addresses have become unreachable within a short time, so that others may be unreachable too. */
    hasCoincidence(now: number): boolean {
        let count = 0;
        for (const { failingSince } of this.records.values()) {
            count += failingSince !== undefined && now - failingSince <= coincidenceMilliseconds ? 1 : 0;
        }
        return count >= minimumCoincidences;
    }

    /**
     * Lists unreachable addresses to which a direct connection is due to be tried again.
     * @param now - Monotonic time in milliseconds.
     * @param maximumCount - Maximum number of addresses; those that were tried least recently come first.
     */
    listDue(now: number, maximumCount: number): string[] {
        const due: { address: string; triedAt: number; }[] = [];
        for (const [address, { failingSince, triedAt }] of this.records) {
            if (failingSince !== undefined && now - triedAt >= retryIntervalMilliseconds) {
                due.push({ address, triedAt });
            }
        }
        due.sort((left, right) => left.triedAt - right.triedAt);
        return due.slice(0, maximumCount).map(({ address }) => address);
    }

    /** Removes the addresses that no endpoint has any more. */
    retain(addresses: ReadonlySet<string>): void {
        for (const [address, { failingSince }] of this.records) {
            if (!addresses.has(address)) {
                this.failingCount -= failingSince === undefined ? 0 : 1;
                this.records.delete(address);
            }
        }
    }

    private getRecord(address: string): PathRecord {
        let record = this.records.get(address);
        if (record === undefined) {
            record = { failingSince: undefined, triedAt: -Infinity, peersFailedAt: -Infinity };
            this.records.set(address, record);
        }
        return record;
    }
}
