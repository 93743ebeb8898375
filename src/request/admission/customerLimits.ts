import type { CustomerDemand } from "./customerDemand.ts";
import type { CustomerLimitsOptions } from "./customerLimitsOptions.ts";
import { LimitedCustomer } from "./limitedCustomer.ts";
import { getLimitShare } from "./limitShare.ts";
import { PeerDemands } from "./peerDemands.ts";
import type { Refusal } from "./refusal.ts";
import { RefusalKind } from "./refusalKind.ts";

/** Fewer arrivals a second than this are not reported. */
const minimumReportedDemand = 0.001;

/** Told to a caller whose customer is not in the configuration, in milliseconds. */
const unknownCustomerRetryMilliseconds = 10_000;

/**
 * Holds the customers to their requests a second over all nodes. Each node lets through its share, which follows
 * the demands that the nodes tell each other; no node asks another before it decides.
 */
export class CustomerLimits {
    private readonly customers = new Map<string, LimitedCustomer>();
    private readonly peers = PeerDemands.create();
    private readonly options: CustomerLimitsOptions;

    private constructor(options: CustomerLimitsOptions) {
        this.options = options;
    }

    static create(options: CustomerLimitsOptions): CustomerLimits {
        return new CustomerLimits(options);
    }

    /**
     * Counts a request and takes its place in this node's share.
     * @param customer - Customer whose request it is.
     * @param now - Monotonic time in milliseconds.
     * @returns The refusal where the share is used up.
     */
    takeRequest(customer: string, now: number): Refusal | undefined {
        const limit = this.getLimit(customer);
        if (limit === undefined) {
            return createUnknownCustomerRefusal(customer);
        }
        const limited = this.customers.get(customer) ?? this.addCustomer(customer, limit, now);
        if (limited.take(now)) {
            return undefined;
        }
        return {
            kind: RefusalKind.RateLimited,
            retryAfterMilliseconds: limited.bookReturn(now),
            message: `Customer "${customer}" is over its ${limit} requests a second and the request has not run. `
                + "Send it again after the given time, or raise requestsPerSecond in the configuration.",
        };
    }

    /** Gives back the place of a request that was then refused for another reason. */
    giveBackRequest(customer: string): void {
        this.customers.get(customer)?.giveBack();
    }

    /** Gets the demand at this node for the other nodes; call it for each round of gossip. */
    getDemand(): CustomerDemand[] {
        const now = this.options.clock.getMonotonicTime();
        this.peers.expire(now);
        const demands: CustomerDemand[] = [];
        for (const [customer, limited] of this.customers) {
            const requestsPerSecond = limited.sampleDemand(now);
            this.updateShare(customer, now);
            if (requestsPerSecond >= minimumReportedDemand) {
                demands.push({ customer, requestsPerSecond });
            }
        }
        return demands;
    }

    /**
     * Learns the demand at another node; it replaces what that node reported before.
     * @param nodeId - The reporting node.
     * @param records - Its whole report.
     */
    applyPeerDemand(nodeId: string, records: readonly CustomerDemand[]): void {
        const now = this.options.clock.getMonotonicTime();
        for (const customer of this.peers.apply(nodeId, records, now)) {
            this.updateShare(customer, now);
        }
    }

    /** Forgets a node that has left; a silent one is forgotten after some seconds. */
    removePeer(nodeId: string): void {
        const now = this.options.clock.getMonotonicTime();
        for (const customer of this.peers.remove(nodeId)) {
            this.updateShare(customer, now);
        }
    }

    private addCustomer(customer: string, limit: number, now: number): LimitedCustomer {
        // Under contention a node that is new to the customer starts at a random phase: were the first request at
        // each of many nodes let through, they would add up to far more than the limit.
        const isContended = this.peers.getTotal(customer) > limit;
        const limited = LimitedCustomer.create(isContended ? this.options.random() : 1, this.options.random, now);
        this.customers.set(customer, limited);
        this.updateShare(customer, now);
        return limited;
    }

    private updateShare(customer: string, now: number): void {
        const limited = this.customers.get(customer);
        const limit = this.getLimit(customer);
        if (limited === undefined) {
            return;
        }
        if (limit === undefined) {
            this.customers.delete(customer);
            return;
        }
        const nodeCount = Math.max(1, this.options.getNodeCount?.() ?? this.peers.peerCount + 1);
        const peers = this.peers.getTotal(customer);
        limited.setShare(getLimitShare({ limit, own: limited.demand, peers, nodeCount }), now);
    }

    private getLimit(customer: string): number | undefined {
        return this.options.getConfiguration().customers[customer]?.requestsPerSecond;
    }
}

function createUnknownCustomerRefusal(customer: string): Refusal {
    return {
        kind: RefusalKind.RateLimited,
        retryAfterMilliseconds: unknownCustomerRetryMilliseconds,
        message: `Customer "${customer}" is not in the configuration and the request has not run. `
            + "Add it under customers, or use a key of a customer that is there.",
    };
}
