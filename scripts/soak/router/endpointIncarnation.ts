import type { EndpointStandin } from "../../../standins/router/endpointStandin.ts";

/** An incarnation of an endpoint, from a start to its end. */
export interface EndpointIncarnation {
    standin: EndpointStandin;
    id: string;
    /** host:port, also valid after the end. */
    address: string;
    /** Wall-clock times in milliseconds; `endedAt` is undefined while it runs. */
    startedAt: number;
    endedAt: number | undefined;
    /** Wall-clock time in milliseconds at which it registered as draining; undefined if it has not. */
    leavingSince: number | undefined;
    /** Wall-clock time at which its store record was deleted, in milliseconds; undefined if it was not. */
    deletedAt: number | undefined;
}
