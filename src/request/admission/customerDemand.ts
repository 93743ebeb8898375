/** One customer's requests on one node. */
export interface CustomerDemand {
    customer: string;
    requestsPerSecond: number;
}
