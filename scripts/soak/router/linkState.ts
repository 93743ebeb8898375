import type { LinkCut } from "../../../standins/network/linkCut.ts";

/** State of a node's links to the endpoints, which its process reads from a file. */
export interface LinkState {
    cut: LinkCut;
    /** Ports of the endpoints on the loopback address. */
    ports: number[];
}
