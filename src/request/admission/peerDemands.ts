/** Time after which a silent peer's demand no longer counts, in milliseconds. */
const expiryMilliseconds = 5_000;

/** What one peer reported last. */
interface PeerReport {
    /** Monotonic time in milliseconds. */
    receivedAt: number;
    /** Requests a second, by what they are for. */
    demands: Map<string, number>;
}

/** The demand that the other nodes report, by what it is for, such as a customer. */
export class PeerDemands {
    private readonly reports = new Map<string, PeerReport>();
    private readonly totals = new Map<string, number>();

    private constructor() {}

    /** Creates demands without any report. */
    static create(): PeerDemands {
        return new PeerDemands();
    }

    /** Peers whose reports count. */
    get peerCount(): number {
        return this.reports.size;
    }

    /** Gets the requests a second at all peers together that have reported. */
    getTotal(key: string): number {
        return this.totals.get(key) ?? 0;
    }

    /**
     * Estimates the requests a second at all other nodes: those that have not reported have as much each as those that have.
     * @param key - What they are for.
     * @param others - Number of the other nodes that live.
     */
    estimateTotal(key: string, others: number): number {
        const scale = this.peerCount > 0 && others > this.peerCount ? others / this.peerCount : 1;
        return this.getTotal(key) * scale;
    }

    /**
     * Replaces a peer's report.
     * @param nodeId - The peer.
     * @param records - Its whole report: what the requests are for, and how many there are a second.
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

    /** Forgets a peer. */
    remove(nodeId: string): void {
        for (const [key, requestsPerSecond] of this.reports.get(nodeId)?.demands ?? []) {
            this.subtract(key, requestsPerSecond);
        }
        this.reports.delete(nodeId);
    }

    /**
     * Forgets the peers that have been silent for 5 s.
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
        const left = this.getTotal(key) - requestsPerSecond;
        // What rounding leaves over counts as nothing.
        if (left > 1e-9) {
            this.totals.set(key, left);
        }
        else {
            this.totals.delete(key);
        }
    }
}
