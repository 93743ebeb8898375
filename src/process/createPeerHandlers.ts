import type { PeerHandlers } from "../connection/peer/peerHandlers.ts";
import type { ClaimService } from "./claimService.ts";
import type { KeptState } from "./keptState.ts";
import type { ConfigurationDistributor } from "./membership/configurationDistributor.ts";
import type { Gossiper } from "./membership/gossiper.ts";

/** Parts of a node that handle calls of its peers. */
interface PeerHandlerParts {
    gossiper: Gossiper;
    distributor: ConfigurationDistributor;
    claims: ClaimService;
}

/** Maps the kinds of {@link KeptState} to the states of the peer protocol. */
const keptStates: Readonly<Record<KeptState["kind"], string>> = {
    finished: "finished",
    running: "running",
    granted: "transferred",
    released: "released",
    moved: "moved",
    unknown: "unknown",
};

/** Creates the handlers of the peer listener. */
export function createPeerHandlers(parts: PeerHandlerParts): PeerHandlers {
    const { gossiper, distributor, claims } = parts;
    return {
        gossip: request => Promise.resolve(gossiper.handleGossip(request)),
        announceConfiguration: request => Promise.resolve(distributor.handleAnnounce(request)),
        getConfiguration: request => Promise.resolve(distributor.handleGet(request)),
        claim: async request => ({ verdicts: await claims.claimForPeer(request.shard, request.items) }),
        takeKeptAnswers: request => {
            claims.receiveAnswers(request.items);
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
