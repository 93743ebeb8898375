/** What the newest streams of a node at a first stage tell of the time that it takes for a first event. */
export interface FirstStageTimes {
    /** Time that the newest stream with a recent first event has waited for it, in milliseconds; undefined if there is none. */
    answeredMilliseconds: number | undefined;
    /** Time for which a stream has waited that is as new as that one or newer, in milliseconds, the longest; 0 if there is none. */
    waitingMilliseconds: number;
}
