import type { DataCentreLink } from "./dataCentreLink.ts";
import type { LinkGate } from "./linkGate.ts";
import type { LinkTraffic } from "./linkTraffic.ts";

/** What a node knows of one link. */
export interface LinkState {
    link: DataCentreLink;
    gate: LinkGate;
    traffic: LinkTraffic;
    /** Monotonic time at which the link was last found to be contended, in milliseconds. */
    contendedAt: number;
}
