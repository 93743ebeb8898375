/** Gives back what a request has taken. */
export interface LoadReservation {
    /** Does nothing when called again. */
    release(): void;
}
