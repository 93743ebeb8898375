/** Load that is reserved for a request at its endpoints. */
export interface LoadReservation {
    /** Releases the reserved load. Further calls have no effect. */
    release(): void;
}
