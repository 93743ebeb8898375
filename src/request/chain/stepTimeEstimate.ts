/** What is believed of an endpoint's step times. */
export interface StepTimeEstimate {
    /** One layer of a step that carries decode positions, without waiting, in milliseconds. */
    decodeMilliseconds: number;
    /** One prompt position through one layer, in milliseconds. */
    prefillMilliseconds: number;
    /** Wait of a pass for each pass that waits at the endpoint already, in milliseconds. */
    waitMilliseconds: number;
    /** Relative uncertainty of the decode time: at 0.5 it may well be half as long again, or half as long. */
    uncertainty: number;
}
