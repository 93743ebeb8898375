/** An endpoint that is taken as lost, for the peers. */
export interface Suspicion {
    endpointId: string;
    remainingMilliseconds: number;
}
