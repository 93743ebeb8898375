/** Request rate of one customer at one node, which the nodes send to each other as a demand record. */
export interface CustomerDemand {
    customer: string;
    requestsPerSecond: number;
}
