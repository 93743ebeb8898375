/** Why and for how long a request is held back. */
export interface RequestHold {
    /** Ids of the endpoints that crashed while they ran the request. */
    endpointIds: string[];
    remainingMilliseconds: number;
}
