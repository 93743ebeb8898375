import { v4 as createRandomUuid } from "uuid";
import type { PeerConnections } from "../connection/peer/peerConnections.ts";
import type { ClaimDecision } from "../request/claimDecision.ts";
import type { ClaimEnd, ClaimGate } from "../request/claimGate.ts";
import type { ClaimConfiguration } from "../version/configuration.ts";
import type { KeptAnswerItem } from "../wire/generated/foxlead/peer/v1/peer_pb.ts";
import { ClaimRouter } from "./claimRouter.ts";
import type { Claim } from "./claims/claim.ts";
import { ClaimOutcome } from "./claims/claimOutcome.ts";
import { ClaimOwner } from "./claims/claimOwner.ts";
import type { ClaimVerdict } from "./claims/claimVerdict.ts";
import type { ShardHash } from "./claims/shardHash.ts";
import type { Clock } from "./clock.ts";
import { KeptAnswerHandOff } from "./keptAnswerHandOff.ts";
import { KeptAnswers } from "./keptAnswers.ts";
import type { KeptState } from "./keptState.ts";
import type { EventLog } from "./logging/eventLog.ts";
import type { MembershipView } from "./membership/membershipView.ts";
import type { RendezvousOwners } from "./membership/rendezvousOwners.ts";
import { NodeClaimGate } from "./nodeClaimGate.ts";
import type { PlatformStore } from "./platform/platformStore.ts";
import type { TraceContext } from "./tracing/traceContext.ts";
import type { Tracing } from "./tracing/tracing.ts";

/** Options of a {@link ClaimService}. */
interface ClaimServiceOptions {
    nodeId: string;
    store: PlatformStore;
    clock: Clock;
    log: EventLog;
    view: MembershipView;
    owners: RendezvousOwners;
    peers: PeerConnections;
    shardHash: ShardHash;
    tracing: Tracing;
}

/** Parts that are created once a configuration has set the number of shards. */
interface ClaimParts {
    owner: ClaimOwner;
    router: ClaimRouter;
    gate: NodeClaimGate;
    handOff: KeptAnswerHandOff;
}

const maximumKeptBytes = 64 * 1024 * 1024;
const ownerGiveUpMilliseconds = 900;
const routerGiveUpMilliseconds = 2_500;

/**
 * Implements at-most-once execution on one node: the claim owner of the shards that it holds, and the claim gate for the
 * requests that it receives.
 */
export class ClaimService implements ClaimGate {
    private readonly options: ClaimServiceOptions;
    private parts: ClaimParts | undefined;

    private constructor(options: ClaimServiceOptions) {
        this.options = options;
    }

    /** Creates the service. It grants no claims before {@link ClaimService.configure} is called. */
    static create(options: ClaimServiceOptions): ClaimService {
        return new ClaimService(options);
    }

    /**
     * Applies the claim settings of the first configuration and updates the owned shards. The settings stay the same
     * until the process ends, since the shard of a key must not change while its claim is valid.
     */
    configure(configuration: ClaimConfiguration): void {
        this.parts ??= this.createParts(configuration);
        this.parts.router.updateOwnedShards();
    }

    /** Updates the shards that this node owns after a change of the members. */
    updateOwnedShards(): void {
        this.parts?.router.updateOwnedShards();
    }

    async claim(
        key: string,
        bodyHash: string,
        claimant: string,
        parent: TraceContext,
    ): Promise<ClaimDecision> {
        if (this.parts === undefined) {
            return { kind: "unavailable", isUnclaimed: false };
        }
        return await this.parts.gate.claim(key, bodyHash, claimant, parent);
    }

    /** Records how a request with a granted claim ended, so that retries of its caller get its answer. */
    settle(key: string, end: ClaimEnd): void {
        this.parts?.gate.settle(key, end);
    }

    /** Transfers the kept answers to other nodes before this one stops. */
    async transferAnswers(): Promise<void> {
        await this.parts?.handOff.transfer();
    }

    /** Stores the kept answers of a peer that is shutting down. */
    receiveAnswers(items: readonly KeptAnswerItem[]): void {
        this.parts?.handOff.receive(items);
    }

    /** Decides claims for a peer. */
    async claimForPeer(shard: number, claims: readonly Claim[]): Promise<ClaimVerdict[]> {
        if (this.parts === undefined) {
            return claims.map(() => ({ outcome: ClaimOutcome.NotOwner }));
        }
        return await this.parts.router.claimLocally(shard, claims);
    }

    /**
     * Gets the state of a claimed request of this node for a peer, or undefined if it is unknown. An unused grant or
     * claimant id moves to the peer and can no longer be used on this node.
     * @param claimant - First claimant of the key.
     * @param nodeId - Id of the peer.
     */
    handOver(key: string, claimant: string, nodeId: string): KeptState | undefined {
        return this.parts?.gate.handOver(key, claimant, nodeId);
    }

    /** Closes the claim owner, which drops all shards. */
    close(): void {
        this.parts?.owner.close();
    }

    private createParts(configuration: ClaimConfiguration): ClaimParts {
        const { nodeId, store, clock, log, view, owners, peers, shardHash, tracing } = this.options;
        const { shards, windowMilliseconds, appendIntervalMilliseconds } = configuration;
        const getShardOfKey = (key: string, count: number) => shardHash.getShardOfKey(key, count);
        const owner = ClaimOwner.create({
            store,
            clock,
            log,
            ownerId: createRandomUuid(),
            shards,
            getShardOfKey,
            windowMilliseconds,
            appendIntervalMilliseconds,
            giveUpMilliseconds: ownerGiveUpMilliseconds,
        });
        const router = ClaimRouter.create({
            view,
            owners,
            peers,
            clock,
            tracing,
            local: owner,
            shards,
            getShardOfKey,
            giveUpMilliseconds: routerGiveUpMilliseconds,
        });
        const kept = KeptAnswers.create({
            maximumBytes: maximumKeptBytes,
            timeToLiveMilliseconds: windowMilliseconds,
            clock,
        });
        const handOff = KeptAnswerHandOff.create({ nodeId, kept, peers, view, owners, clock });
        const gate = NodeClaimGate.create({
            nodeId,
            router,
            kept,
            handOff,
            peers,
            view,
            clock,
            tracing,
            windowMilliseconds,
        });
        return { owner, router, gate, handOff };
    }
}
