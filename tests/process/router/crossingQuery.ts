import type { LinkCrossingQuery } from "../../../src/request/relay/links/linkCrossingQuery.ts";
import { relayModel } from "../../request/relay/relayModel.ts";

/** A new request that would use the link from data centre a to b. */
export const crossingQuery: LinkCrossingQuery = {
    from: "a",
    to: "b",
    model: relayModel,
    promptTokens: 800,
    elapsedMilliseconds: 0,
    objectiveMilliseconds: 500,
    waitLimitMilliseconds: 2_000,
    isReturn: false,
    isRunning: false,
    beginCount: 0,
    onTimeWaitMilliseconds: Infinity,
    isOnlyChoice: true,
};
