import type { EndpointAddress } from "../../../connection/endpoint/endpointAddress.ts";
import type { EngineModel } from "../../../version/routing/engineModel.ts";
import type { RelayStage } from "./relayStage.ts";

/** Parameters for choosing the chain of a request. */
export interface StageQuery {
    model: EngineModel;
    promptTokens: number;
    answerTokens: number;
    /** Data centre of the node that the caller is connected to. */
    dataCentre: string;
    /** Whether endpoints without enough free memory may be chosen. An endpoint that runs out of memory preempts running streams. */
    mayOvercommit: boolean;
    /** Fraction of each endpoint's memory that must stay free for other requests, 0 to 1. */
    spareFraction: number;
    /** Utilization of the links between data centres, 0 to 1. */
    linkUtilization: number;
    /** Gets the recently observed delay that a link between data centres adds to first events, in milliseconds. */
    getLinkDelay(from: string, to: string): number;
    /**
     * Gets how long the request must wait before it uses the link from one data centre to another, in milliseconds; Infinity if it
     * must not use it at all.
     */
    getLinkWait(from: string, to: string): number;
    /** Checks if a connection to an endpoint's address is open and idle. */
    isConnected(address: EndpointAddress): boolean;
    /** First stage of the chain, if a running request moves to another chain. */
    firstStage?: RelayStage;
    /** Checks if an endpoint may be the first stage. Default: each one may. */
    mayBeFirst?(endpointId: string): boolean;
}
