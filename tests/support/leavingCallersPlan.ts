/** What the callers of `leavingCallers.ts` do. */
export interface LeavingCallersPlan {
    host: string;
    port: number;
    /** API key. */
    key: string;
    path: string;
    count: number;
    /** Whether they send on connections on which they had an answer before. */
    keepsConnections: boolean;
    /** Time from the sending of a request to the close of its connection, in milliseconds. */
    leaveMilliseconds: number;
}
