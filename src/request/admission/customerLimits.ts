import type { CustomerDemand } from "./customerDemand.ts";
import type { CustomerLimitsOptions } from "./customerLimitsOptions.ts";
import { PeerDemands } from "./peerDemands.ts";
import type { Refusal } from "./refusal.ts";
import { RefusalKind } from "./refusalKind.ts";
import { SharedRate } from "./sharedRate.ts";

/** A customer that has sent requests. */
interface LimitedCustomer {
    /** Limit over all nodes, in requests a second, for which the demand is measured. */
    limit: number;
    rate: SharedRate;
}

/** Requests at the limit over which a demand is measured at least, so that chance refuses few within the limit. */
const minimumMeasuredRequests = 20;

/** Requests at the limit that are enough to measure a demand; more would only make it slower. */
const enoughMeasuredRequests = 100;

/** Time over which a demand is measured where the limit allows 20 to 100 requests in it, in milliseconds. */
const usualMemoryMilliseconds = 2_000;

/** Shortest time over which a demand is measured, in milliseconds: about the interval of gossip. */
const minimumMemoryMilliseconds = 250;

/** Fewer arrivals a second than this are not reported. */
const minimumReportedDemand = 0.001;

/** Time for which one report serves all the peers of a round, in milliseconds. */
const reportMilliseconds = 100;

const defaultMaximumRecords = 16;

/** Told to a caller whose customer is not in the configuration, in milliseconds. */
const unknownCustomerRetryMilliseconds = 10_000;

/**
 * Holds the customers to their requests a second over all nodes. The nodes tell each other the demand that they
 * see, and each lets through the same part of it; no node asks another before it decides.
 */
export class CustomerLimits {
    private readonly customers = new Map<string, LimitedCustomer>();
    private readonly peers = PeerDemands.create();
    private readonly options: CustomerLimitsOptions;
    private report: CustomerDemand[] = [];
    private reportedAt = Number.NEGATIVE_INFINITY;

    private constructor(options: CustomerLimitsOptions) {
        this.options = options;
    }

    /** Creates limits that have seen no requests and no reports of other nodes. */
    static create(options: CustomerLimitsOptions): CustomerLimits {
        return new CustomerLimits(options);
    }

    /**
     * Counts a request and decides whether it is within the limit.
     * @param customer - Customer whose request it is.
     * @param now - Monotonic time in milliseconds.
     * @returns The refusal where it is not.
     */
    takeRequest(customer: string, now: number): Refusal | undefined {
        const limit = this.getLimit(customer);
        if (limit === undefined) {
            return createUnknownCustomerRefusal(customer);
        }
        const { rate } = this.getLimitedCustomer(customer, limit, now);
        const peerDemand = this.getPeerDemand(customer);
        if (rate.take(limit, peerDemand, now)) {
            return undefined;
        }
        return {
            kind: RefusalKind.RateLimited,
            retryAfterMilliseconds: rate.bookReturn(limit, peerDemand, now),
            message: `Customer "${customer}" is over its ${limit} requests a second and the request has not run. `
                + "Send it again after the given time, or raise requestsPerSecond in the configuration.",
        };
    }

    /** Gives back the place of a request that was then refused for another reason. */
    giveBackRequest(customer: string): void {
        this.customers.get(customer)?.rate.giveBack();
    }

    /**
     * Gets the demand at this node for the other nodes; call it for each round of gossip.
     * @param maximumRecords - Most customers to report: those first that are nearest to their limit, as the others
     * need no sharing. About 30 bytes each on the wire.
     */
    getDemand(maximumRecords = defaultMaximumRecords): CustomerDemand[] {
        const now = this.options.clock.getMonotonicTime();
        if (now - this.reportedAt >= reportMilliseconds) {
            this.peers.expire(now);
            this.report = this.createReport(now);
            this.reportedAt = now;
        }
        return this.report.slice(0, maximumRecords);
    }

    /**
     * Learns the demand at another node; it replaces what that node reported before.
     * @param nodeId - The reporting node.
     * @param records - Its whole report.
     */
    applyPeerDemand(nodeId: string, records: readonly CustomerDemand[]): void {
        const demands = records.map(({ customer, requestsPerSecond }) => [customer, requestsPerSecond] as const);
        this.peers.apply(nodeId, demands, this.options.clock.getMonotonicTime());
    }

    /** Forgets the report of a node that has left; that of a silent one is forgotten after 5 s. */
    removePeer(nodeId: string): void {
        this.peers.remove(nodeId);
    }

    private createReport(now: number): CustomerDemand[] {
        const found: { record: CustomerDemand; part: number; }[] = [];
        for (const [customer, { limit, rate }] of this.customers) {
            const requestsPerSecond = rate.getDemand(now);
            if (requestsPerSecond >= minimumReportedDemand) {
                found.push({ record: { customer, requestsPerSecond }, part: requestsPerSecond / limit });
            }
            else if (this.getLimit(customer) === undefined) {
                this.customers.delete(customer);
            }
        }
        return found.sort((a, b) => b.part - a.part).map(({ record }) => record);
    }

    private getLimitedCustomer(customer: string, limit: number, now: number): LimitedCustomer {
        let limited = this.customers.get(customer);
        if (limited === undefined || limited.limit !== limit) {
            const memoryMilliseconds = getMemoryMilliseconds(limit);
            limited = { limit, rate: SharedRate.create({ memoryMilliseconds, random: this.options.random, now }) };
            this.customers.set(customer, limited);
        }
        return limited;
    }

    /** Gets the demand at the other nodes, in requests a second; estimated where only some of them reported. */
    private getPeerDemand(customer: string): number {
        return this.peers.estimateTotal(customer, (this.options.getNodeCount?.() ?? 1) - 1);
    }

    private getLimit(customer: string): number | undefined {
        return this.options.getConfiguration().customers[customer]?.requestsPerSecond;
    }
}

function getMemoryMilliseconds(limit: number): number {
    const least = Math.max(minimumMemoryMilliseconds, minimumMeasuredRequests * 1000 / limit);
    const enough = enoughMeasuredRequests * 1000 / limit;
    return Math.max(least, Math.min(usualMemoryMilliseconds, enough));
}

function createUnknownCustomerRefusal(customer: string): Refusal {
    return {
        kind: RefusalKind.RateLimited,
        retryAfterMilliseconds: unknownCustomerRetryMilliseconds,
        message: `Customer "${customer}" is not in the configuration and the request has not run. `
            + "Add it under customers, or use a key of a customer that is there.",
    };
}
