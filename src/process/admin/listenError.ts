/** Error of a listener that could not be started. */
export interface ListenError {
    kind: "listen";
    /** Description of the failure and how to fix it. */
    message: string;
}
