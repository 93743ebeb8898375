/** What became of a move to another chain. */
export interface RerouteOutcome {
    isDone: boolean;
    /** host:port of the endpoint that stood in the way, where one is named. */
    faultyAddress: string | undefined;
}
