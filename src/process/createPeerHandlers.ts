import type { PeerHandlers } from "../connection/peer/peerHandlers.ts";
import type { ClaimService } from "./claimService.ts";
import type { KeptState } from "./keptState.ts";
import type { ConfigurationSpreader } from "./membership/configurationSpreader.ts";
import type { Gossiper } from "./membership/gossiper.ts";

/** The parts of a node that answer its peers. */
interface PeerHandlerParts {
    gossiper: Gossiper;
    spreader: ConfigurationSpreader;
    claims: ClaimService;
}

/** The states of the peer protocol for what is kept. */
const keptStates: Readonly<Record<KeptState["kind"], string>> = {
    finished: "finished",
    running: "running",
    granted: "transferred",
    released: "released",
    moved: "moved",
    unknown: "unknown",
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
        takeKeptAnswers: request => {
            claims.takeAnswers(request.items);
            return Promise.resolve({});
        },
        getKeptAnswer: request => {
            const state = claims.handOver(request.key, request.claimant, request.fromNodeId);
            if (state === undefined) {
                return Promise.resolve({ state: "unknown" });
            }
            const answer = state.kind === "finished" ? state.answer : {};
            const nodeId = state.kind === "moved" ? state.nodeId : "";
            return Promise.resolve({ state: keptStates[state.kind], nodeId, ...answer });
        },
    };
}
