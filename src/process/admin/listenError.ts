/** A listener that can't be opened. */
export interface ListenError {
    kind: "listen";
    /** What failed and what to do about it. */
    message: string;
}
