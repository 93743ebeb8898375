/** Why and for how long a request is held back. */
export interface RequestHold {
    /** Ids of the endpoints that crashed while they ran the request, or requests with the same parts. */
    endpointIds: string[];
    remainingMilliseconds: number;
    /** Keys of the parts of the prompt that are held back; undefined if it is the whole request. */
    parts?: readonly string[];
}
