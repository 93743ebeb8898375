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

/** The parts that exist once a configuration has set the number of shards. */
interface ClaimParts {
    owner: ClaimOwner;
    router: ClaimRouter;
    gate: NodeClaimGate;
    handOff: KeptAnswerHandOff;
}

const keptAnswerBytes = 64 * 1024 * 1024;
const ownerGiveUpMilliseconds = 900;
const routerGiveUpMilliseconds = 2_500;

/** At most once on one node: the claim owner for the shards it holds, and the gate for the requests it receives. */
export class ClaimService implements ClaimGate {
    private readonly options: ClaimServiceOptions;
    private parts: ClaimParts | undefined;

    private constructor(options: ClaimServiceOptions) {
        this.options = options;
    }

    /** Creates the service; it grants nothing before {@link ClaimService.configure}. */
    static create(options: ClaimServiceOptions): ClaimService {
        return new ClaimService(options);
    }

    /**
     * Takes the numbers of the first configuration. They hold until the process ends: a key's shard must not change while
     * its claim counts.
     */
    configure(configuration: ClaimConfiguration): void {
        this.parts ??= this.createParts(configuration);
        this.parts.router.updateOwnedShards();
    }

    /** Takes a change of the members: shards may have come to this node. */
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

    /** Notes how a request that was granted its claim has ended, for the repeats of its caller. */
    settle(key: string, end: ClaimEnd): void {
        this.parts?.gate.settle(key, end);
    }

    /** Passes the kept answers on to other nodes, before this one stops. */
    async passOnAnswers(): Promise<void> {
        await this.parts?.handOff.passOn();
    }

    /** Takes the kept answers of a peer that is stopping. */
    takeAnswers(items: readonly KeptAnswerItem[]): void {
        this.parts?.handOff.take(items);
    }

    /** Decides claims that a peer has brought. */
    async claimForPeer(shard: number, claims: readonly Claim[]): Promise<ClaimVerdict[]> {
        if (this.parts === undefined) {
            return claims.map(() => ({ outcome: ClaimOutcome.NotOwner }));
        }
        return await this.parts.router.claimHere(shard, claims);
    }

    /**
     * Answers a peer that asks for a claimed request of this node; undefined where nothing is known.
     * @param key - The key.
     * @param claimant - First claimant of the key.
     * @param nodeId - The peer.
     */
    handOver(key: string, claimant: string, nodeId: string): KeptState | undefined {
        return this.parts?.gate.handOver(key, claimant, nodeId);
    }

    /** Forgets all shards. */
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
            maximumBytes: keptAnswerBytes,
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
