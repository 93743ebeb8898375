import type { LoadReservation } from "../endpoints/loadReservation.ts";
import type { LinkRun } from "../links/linkRun.ts";

/** Capacity that is reserved for one run of a request at the endpoints of a chain and on the links between them. */
export interface ChainReservation extends LoadReservation {
    links: LinkRun;
}
