/** Why and for how long a request isn't sent on. */
export interface RequestHold {
    /** Ids of the endpoints that ended while they ran it. */
    endpointIds: string[];
    remainingMilliseconds: number;
}
