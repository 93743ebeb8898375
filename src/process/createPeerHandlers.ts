import type { PeerHandlers } from "../connection/peer/peerHandlers.ts";
import type { ClaimDecision } from "../request/claimDecision.ts";
import type { ClaimService } from "./claimService.ts";
import type { ConfigurationSpreader } from "./membership/configurationSpreader.ts";
import type { Gossiper } from "./membership/gossiper.ts";

/** The parts of a node that answer its peers. */
interface PeerHandlerParts {
    gossiper: Gossiper;
    spreader: ConfigurationSpreader;
    claims: ClaimService;
}

/** The kept-answer states of the peer protocol for each decision. */
const keptStates: Readonly<Record<ClaimDecision["kind"], string>> = {
    answered: "finished",
    running: "running",
    granted: "transferred",
    unavailable: "not_run",
    unknown: "unknown",
    badKey: "unknown",
    bodyMismatch: "unknown",
};

/**
 * Creates the handlers of the peer listener.
 * @param parts - The parts of the node that answer.
 */
export function createPeerHandlers(parts: PeerHandlerParts): PeerHandlers {
    const { gossiper, spreader, claims } = parts;
    return {
        gossip: request => Promise.resolve(gossiper.handleGossip(request)),
        announceConfiguration: request => Promise.resolve(spreader.handleAnnounce(request)),
        getConfiguration: request => Promise.resolve(spreader.handleGet(request)),
        claim: async request => ({ verdicts: await claims.claimForPeer(request.shard, request.items) }),
        getKeptAnswer: request => {
            const decision = claims.handOver(request.key, request.claimant);
            const answer = decision.kind === "answered" ? decision.answer : {};
            return Promise.resolve({ state: keptStates[decision.kind], ...answer });
        },
    };
}
