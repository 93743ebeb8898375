/** A time without requests that the endpoint stand-in has asked a node for, in Unix milliseconds. */
export interface PauseRecord {
    refusedAt: number;
    endsAt: number;
}
