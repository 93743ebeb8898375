import type { CustomerDemand } from "./customerDemand.ts";

/** Time after which a silent peer's demand no longer counts, in milliseconds. */
const expiryMilliseconds = 5_000;

/** What one peer reported last. */
interface PeerReport {
    /** Monotonic time in milliseconds. */
    receivedAt: number;
    /** Requests a second, by customer. */
    demands: Map<string, number>;
}

/** The demand that the other nodes report, by customer. */
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

    /** Gets a customer's requests a second at all peers together. */
    getTotal(customer: string): number {
        return this.totals.get(customer) ?? 0;
    }

    /**
     * Replaces a peer's report.
     * @param nodeId - The peer.
     * @param records - Its whole report.
     * @param now - Monotonic time in milliseconds.
     */
    apply(nodeId: string, records: readonly CustomerDemand[], now: number): void {
        this.remove(nodeId);
        const demands = new Map<string, number>();
        for (const { customer, requestsPerSecond } of records) {
            if (!Number.isFinite(requestsPerSecond) || requestsPerSecond <= 0 || demands.has(customer)) {
                continue;
            }
            demands.set(customer, requestsPerSecond);
            this.totals.set(customer, this.getTotal(customer) + requestsPerSecond);
        }
        this.reports.set(nodeId, { receivedAt: now, demands });
    }

    /** Forgets a peer. */
    remove(nodeId: string): void {
        for (const [customer, requestsPerSecond] of this.reports.get(nodeId)?.demands ?? []) {
            this.subtract(customer, requestsPerSecond);
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

    private subtract(customer: string, requestsPerSecond: number): void {
        const left = this.getTotal(customer) - requestsPerSecond;
        // What rounding leaves over counts as nothing.
        if (left > 1e-9) {
            this.totals.set(customer, left);
        }
        else {
            this.totals.delete(customer);
        }
    }
}
