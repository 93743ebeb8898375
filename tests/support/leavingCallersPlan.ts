/** Options of the callers in `leavingCallers.ts`. */
export interface LeavingCallersPlan {
    host: string;
    port: number;
    /** API key. */
    key: string;
    path: string;
    count: number;
    /** Whether callers send on connections that already carried a request and its answer. */
    keepsConnections: boolean;
    /** Time from sending a request to closing its connection, in milliseconds. */
    leaveMilliseconds: number;
}
