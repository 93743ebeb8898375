import type { EngineModel } from "../../version/routing/engineModel.ts";
import type { RelayStage } from "./relayStage.ts";

/** A request that needs a chain. */
export interface StageQuery {
    model: EngineModel;
    promptTokens: number;
    answerTokens: number;
    /** Data centre that the caller's node stands in. */
    dataCentre: string;
    /** Whether endpoints without room for the request may be chosen; they give requests up in mid-stream. */
    mayOverfill: boolean;
    /** Part of each endpoint's memory that must stay free for others, 0 to 1. */
    sparePart: number;
    /** Part of the pipes between data centres that is in use, 0 to 1. */
    pipeUse: number;
    /** Gets what a crossing was seen to add to first events lately, in milliseconds. */
    getCrossingDelay(from: string, to: string): number;
    /** Gets how long this node's part of the pipe from one data centre to another is taken, in milliseconds. */
    getPipeWait(from: string, to: string): number;
    /** Whether a connection to an endpoint's address is open and free. */
    isConnected(address: string): boolean;
    /** First stage that the chain must begin with, where a running request moves to another chain. */
    firstStage?: RelayStage;
}
