import type { IncomingHttpHeaders } from "node:http";

/** A request that the endpoint stand-in has run. */
export interface RunRecord {
    id: string;
    method: string;
    url: string;
    headers: IncomingHttpHeaders;
    body: string;
    /** Arrival time, in Unix milliseconds. */
    arrivedAt: number;
    /** Whether the connection was closed before the response was complete. */
    isAbandoned: boolean;
    /** Port of the caller's side of the connection. */
    port: number | undefined;
}
