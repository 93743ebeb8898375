/** What is known of this node's own links to an address. */
interface PathRecord {
    /** Monotonic time in milliseconds since which no connection could be opened; undefined if the last one was. */
    failingSince: number | undefined;
    /** Monotonic time in milliseconds of the last attempt to open one. */
    triedAt: number;
}

/** Called when an address becomes unreachable or reachable, with why it failed. */
type OnPathChanged = (address: string, failure: string | undefined) => void;

/**
 * Tracks which endpoints this node can connect to over its own links. An endpoint that it can't connect to may be alive: peers
 * may reach it.
 */
export class EndpointPaths {
    private readonly records = new Map<string, PathRecord>();
    private readonly onChanged: OnPathChanged;
    private failingCount = 0;

    private constructor(onChanged: OnPathChanged) {
        this.onChanged = onChanged;
    }

    /**
     * Creates an instance in which all addresses are reachable.
     * @param onChanged - Called when an address becomes unreachable or reachable.
     */
    static create(onChanged: OnPathChanged): EndpointPaths {
        return new EndpointPaths(onChanged);
    }

    /** Records that a direct connection to an address was opened. */
    recordOpened(address: string, now: number): void {
        const record = this.getRecord(address);
        record.triedAt = now;
        if (record.failingSince !== undefined) {
            record.failingSince = undefined;
            this.failingCount -= 1;
            this.onChanged(address, undefined);
        }
    }

    /** Records that a direct connection to an address could not be opened. */
    recordFailed(address: string, failure: string, now: number): void {
        const record = this.getRecord(address);
        record.triedAt = now;
        if (record.failingSince === undefined) {
            record.failingSince = now;
            this.failingCount += 1;
            this.onChanged(address, failure);
        }
    }

    /** Gets the monotonic time in milliseconds since which an address is unreachable; undefined if it is reachable. */
    getFailingSince(address: string): number | undefined {
        return this.records.get(address)?.failingSince;
    }

    /** Gets the number of addresses that are unreachable. */
    getFailingCount(): number {
        return this.failingCount;
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
            record = { failingSince: undefined, triedAt: -Infinity };
            this.records.set(address, record);
        }
        return record;
    }
}
