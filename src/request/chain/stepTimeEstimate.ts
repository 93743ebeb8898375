/** What is believed of an endpoint's step times. */
export interface StepTimeEstimate {
    /** One layer of a step that carries decode positions, in milliseconds. */
    decodeMilliseconds: number;
    /** One prompt position through one layer, in milliseconds. */
    prefillMilliseconds: number;
    /** Wait for each pass that waits before, in milliseconds. */
    wait: number;
    /** Relative uncertainty: 0.5 means that the true time may well be half as much again. */
    uncertainty: number;
}
