/** Estimated step times of an endpoint. */
export interface StepTimeEstimate {
    /** Time of a decode step for one layer, without waiting. */
    decodeMilliseconds: number;
    /** Time of one prompt position in one layer. */
    prefillMilliseconds: number;
    /** Wait of a pass for each pass that is already queued at the endpoint. */
    waitMilliseconds: number;
    /** Relative uncertainty of the decode time. At 0.5, the actual time may be 50% higher or lower. */
    uncertainty: number;
}
