/** A crash of an endpoint that is held against a suspect. */
export interface SuspectCrash {
    /** Monotonic time in milliseconds at which the connection to the endpoint broke. */
    at: number;
    /** Whether the request that ran there was a canary for this suspect. */
    isCanary: boolean;
    /** Whether no node could connect to the endpoint right after. */
    isDown: boolean;
    /** Whether the endpoint is known to have restarted since, so that it was not merely out of sight. */
    isConfirmed: boolean;
    /** Whether the connection broke so soon after sending that the endpoint may have crashed before the request arrived. */
    isSudden: boolean;
}

/** A whole request, or a part of prompts, that endpoints may have crashed under. */
export interface Suspect {
    /** Fingerprint of the request or key of the part. */
    key: string;
    /** Whether it is a part of prompts, which many requests may share. */
    isPart: boolean;
    /** Whether an endpoint has begun to answer a request with this part at some time. */
    wasAnswered: boolean;
    /** By endpoint id. */
    crashes: Map<string, SuspectCrash>;
    /** Monotonic times in milliseconds of sudden crashes that may be a coincidence with another one and don't count, by endpoint id. */
    coincidences: Map<string, number>;
}
