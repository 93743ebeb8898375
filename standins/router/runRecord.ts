import type { IncomingHttpHeaders } from "node:http";

/** A request that the stand-in has run. */
export interface RunRecord {
    id: string;
    method: string;
    url: string;
    headers: IncomingHttpHeaders;
    body: string;
    /** Wall-clock time in milliseconds. */
    arrivedAt: number;
    /** Whether its connection closed before the answer was whole. */
    isAbandoned: boolean;
}
