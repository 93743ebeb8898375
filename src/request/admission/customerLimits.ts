import type { CustomerDemand } from "./customerDemand.ts";
import type { CustomerLimitsOptions } from "./customerLimitsOptions.ts";
import { PeerDemands } from "./peerDemands.ts";
import type { Refusal } from "./refusal.ts";
import { RefusalKind } from "./refusalKind.ts";
import { SharedRate } from "./sharedRate.ts";

/** Rate limit state of a customer that has sent requests. */
interface LimitedCustomer {
    /** Limit over all nodes, in requests a second, from which the time constant of the rate was derived. */
    limit: number;
    rate: SharedRate;
}

/** Minimum number of requests at the limit per time constant; with fewer, random variation refuses requests within the limit. */
const minimumMeasuredRequests = 20;

/** Number of requests at the limit per time constant that suffices to measure the demand; more only delays the reaction. */
const maximumMeasuredRequests = 100;

/** Time constant of the measured demand where the limit allows 20 to 100 requests in this time. */
const defaultTimeConstantMilliseconds = 2_000;

/** Minimum time constant of the measured demand: about the gossip interval. */
const minimumTimeConstantMilliseconds = 250;

/** Lower demands are not reported to the peers. */
const minimumReportedRequestsPerSecond = 0.001;

/** Time for which a report is reused, so that all peers of a gossip round get the same one. */
const reportLifetimeMilliseconds = 100;

const defaultMaximumRecords = 16;

/** Retry delay for a customer that is not in the configuration. */
const unknownCustomerRetryMilliseconds = 10_000;

/**
 * Enforces the customers' rate limits over all nodes. The nodes exchange the demand that they measure, and each admits the
 * same fraction of its demand; decisions need no call to another node.
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

    /** Creates limits without recorded requests or peer reports. */
    static create(options: CustomerLimitsOptions): CustomerLimits {
        return new CustomerLimits(options);
    }

    /**
     * Counts a request against its customer's limit.
     * @param customer - Name of the customer.
     * @param now - Monotonic time in milliseconds.
     * @returns The refusal if the request exceeds the limit.
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
            retryAfterMilliseconds: rate.scheduleRetry(limit, peerDemand, now),
            message:
                `Customer "${customer}" exceeds its limit of ${limit} requests a second and the request has not run. `
                + "Send it again after the given time, or raise requestsPerSecond in the configuration.",
        };
    }

    /** Refunds a counted request that was then refused for another reason. */
    refundRequest(customer: string): void {
        this.customers.get(customer)?.rate.refund();
    }

    /**
     * Gets the demand at this node to send to the other nodes in a gossip round.
     * @param maximumRecords - Maximum number of customers to report, those closest to their limits first, since the limits
     * of the others need no coordination. About 30 bytes each on the wire.
     */
    getDemand(maximumRecords = defaultMaximumRecords): CustomerDemand[] {
        const now = this.options.clock.getMonotonicTime();
        if (now - this.reportedAt >= reportLifetimeMilliseconds) {
            this.peers.expire(now);
            this.report = this.createReport(now);
            this.reportedAt = now;
        }
        return this.report.slice(0, maximumRecords);
    }

    /**
     * Applies the demand report of another node, replacing its previous one.
     * @param nodeId - Id of the reporting node.
     * @param records - The complete report.
     */
    applyPeerDemand(nodeId: string, records: readonly CustomerDemand[]): void {
        const demands = records.map(({ customer, requestsPerSecond }) => [customer, requestsPerSecond] as const);
        this.peers.apply(nodeId, demands, this.options.clock.getMonotonicTime());
    }

    /** Removes the report of a node that has left; the report of a silent node expires after 5 s. */
    removePeer(nodeId: string): void {
        this.peers.remove(nodeId);
    }

    private createReport(now: number): CustomerDemand[] {
        const entries: { record: CustomerDemand; usedFraction: number; }[] = [];
        for (const [customer, { limit, rate }] of this.customers) {
            const requestsPerSecond = rate.getDemand(now);
            if (requestsPerSecond >= minimumReportedRequestsPerSecond) {
                entries.push({ record: { customer, requestsPerSecond }, usedFraction: requestsPerSecond / limit });
            }
            else if (this.getLimit(customer) === undefined) {
                this.customers.delete(customer);
            }
        }
        return entries.sort((a, b) => b.usedFraction - a.usedFraction).map(({ record }) => record);
    }

    private getLimitedCustomer(customer: string, limit: number, now: number): LimitedCustomer {
        let limited = this.customers.get(customer);
        if (limited === undefined || limited.limit !== limit) {
            const timeConstantMilliseconds = getTimeConstantMilliseconds(limit);
            limited = {
                limit,
                rate: SharedRate.create({ timeConstantMilliseconds, random: this.options.random, now }),
            };
            this.customers.set(customer, limited);
        }
        return limited;
    }

    /** Gets the demand at the other nodes, in requests a second; extrapolated if only some of them have reported. */
    private getPeerDemand(customer: string): number {
        return this.peers.estimateTotal(customer, (this.options.getNodeCount?.() ?? 1) - 1);
    }

    private getLimit(customer: string): number | undefined {
        return this.options.getConfiguration().customers[customer]?.requestsPerSecond;
    }
}

function getTimeConstantMilliseconds(limit: number): number {
    const minimum = Math.max(minimumTimeConstantMilliseconds, minimumMeasuredRequests * 1000 / limit);
    const maximum = maximumMeasuredRequests * 1000 / limit;
    return Math.max(minimum, Math.min(defaultTimeConstantMilliseconds, maximum));
}

function createUnknownCustomerRefusal(customer: string): Refusal {
    return {
        kind: RefusalKind.RateLimited,
        retryAfterMilliseconds: unknownCustomerRetryMilliseconds,
        message: `Customer "${customer}" is not in the configuration and the request has not run. `
            + "Add it under customers, or use the key of a configured customer.",
    };
}
