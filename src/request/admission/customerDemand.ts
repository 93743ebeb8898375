/** Request rate of one customer at one node. */
export interface CustomerDemand {
    customer: string;
    requestsPerSecond: number;
}
