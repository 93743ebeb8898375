/** Result of moving a request to another chain. */
export interface RerouteOutcome {
    isDone: boolean;
    /** Address (host:port) of the endpoint that prevented the move, if one is named. */
    faultyAddress: string | undefined;
}
