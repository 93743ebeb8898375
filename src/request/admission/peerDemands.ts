/** Time to live of a report. */
const expiryMilliseconds = 5_000;

/** The latest report of a peer. */
interface PeerReport {
    /** Monotonic time in milliseconds. */
    receivedAt: number;
    /** Requests a second by key. */
    demands: Map<string, number>;
}

/** The demand that the other nodes have reported, by a key such as a customer. */
export class PeerDemands {
    private readonly reports = new Map<string, PeerReport>();
    private readonly totals = new Map<string, number>();

    private constructor() {}

    /** Creates an instance without reports. */
    static create(): PeerDemands {
        return new PeerDemands();
    }

    /** Number of peers with a report that has not expired. */
    get peerCount(): number {
        return this.reports.size;
    }

    /** Gets the total requests a second at the peers that have reported. */
    getTotal(key: string): number {
        return this.totals.get(key) ?? 0;
    }

    /**
     * Estimates the total requests a second at all other nodes, assuming the mean of the reporting ones for the rest.
     * @param key - Key of the demand.
     * @param otherNodeCount - Number of other live nodes.
     */
    estimateTotal(key: string, otherNodeCount: number): number {
        const scale = this.peerCount > 0 && otherNodeCount > this.peerCount ? otherNodeCount / this.peerCount : 1;
        return this.getTotal(key) * scale;
    }

    /**
     * Replaces a peer's report.
     * @param nodeId - Id of the peer.
     * @param records - The complete report: keys and requests a second.
     * @param now - Monotonic time in milliseconds.
     */
    apply(nodeId: string, records: Iterable<readonly [string, number]>, now: number): void {
        this.remove(nodeId);
        const demands = new Map<string, number>();
        for (const [key, requestsPerSecond] of records) {
            if (!Number.isFinite(requestsPerSecond) || requestsPerSecond <= 0 || demands.has(key)) {
                continue;
            }
            demands.set(key, requestsPerSecond);
            this.totals.set(key, this.getTotal(key) + requestsPerSecond);
        }
        this.reports.set(nodeId, { receivedAt: now, demands });
    }

    /** Removes a peer's report. */
    remove(nodeId: string): void {
        for (const [key, requestsPerSecond] of this.reports.get(nodeId)?.demands ?? []) {
            this.subtract(key, requestsPerSecond);
        }
        this.reports.delete(nodeId);
    }

    /**
     * Removes the reports of peers that have been silent for more than 5 s.
     * @param now - Monotonic time in milliseconds.
     */
    expire(now: number): void {
        for (const [nodeId, report] of this.reports) {
            if (now - report.receivedAt > expiryMilliseconds) {
                this.remove(nodeId);
            }
        }
    }

    private subtract(key: string, requestsPerSecond: number): void {
        const remaining = this.getTotal(key) - requestsPerSecond;
        // A smaller remainder is a rounding error.
        if (remaining > 1e-9) {
            this.totals.set(key, remaining);
        }
        else {
            this.totals.delete(key);
        }
    }
}
