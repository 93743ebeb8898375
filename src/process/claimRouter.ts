import { create } from "@bufbuild/protobuf";
import type { PeerConnections } from "../connection/peer/peerConnections.ts";
import { ClaimRequestSchema } from "../wire/generated/foxlead/peer/v1/peer_pb.ts";
import type { Claim } from "./claims/claim.ts";
import { ClaimOutcome } from "./claims/claimOutcome.ts";
import type { ClaimOwner } from "./claims/claimOwner.ts";
import type { ClaimVerdict } from "./claims/claimVerdict.ts";
import type { Clock } from "./clock.ts";
import { getAssignableNodeIds } from "./membership/getAssignableNodeIds.ts";
import type { MembershipView } from "./membership/membershipView.ts";
import type { RendezvousOwners } from "./membership/rendezvousOwners.ts";
import type { TraceContext } from "./tracing/traceContext.ts";
import type { Tracing } from "./tracing/tracing.ts";

/** Options of a {@link ClaimRouter}. */
interface ClaimRouterOptions {
    view: MembershipView;
    owners: RendezvousOwners;
    peers: PeerConnections;
    clock: Clock;
    tracing: Tracing;
    /** Claim owner in this process. */
    local: ClaimOwner;
    shards: number;
    getShardOfKey(key: string, shards: number): number;
    /** Longest time from the first attempt to the verdict, in milliseconds. */
    giveUpMilliseconds: number;
}

const retryDelayMilliseconds = 20;
const callTimeoutMilliseconds = 1_200;
const candidateCount = 3;

/**
 * Routes a claim to the node that owns its shard, which may be this one, and fails over to the next candidates if the
 * owner does not answer. Any node may decide any claim: the store's compare-and-swap ensures correctness, so asking the
 * wrong owner only costs time.
 */
export class ClaimRouter {
    private readonly options: ClaimRouterOptions;

    private constructor(options: ClaimRouterOptions) {
        this.options = options;
    }

    /** Creates the router of a node. */
    static create(options: ClaimRouterOptions): ClaimRouter {
        return new ClaimRouter(options);
    }

    /**
     * Refreshes the shards that this node owns and releases the others. A released shard would become outdated, since
     * its owner appends to it without this node.
     */
    updateOwnedShards(): void {
        const { local, shards } = this.options;
        for (let shard = 0; shard < shards; shard += 1) {
            if (this.isOwner(shard)) {
                local.refreshShard(shard);
            }
            else {
                local.releaseShard(shard);
            }
        }
    }

    /**
     * Decides claims on this node, for itself or a peer. Only the owner of the shard can tell that a key is unclaimed:
     * another node's copy of the shard may be older than the owner's last append.
     */
    async claimLocally(shard: number, claims: readonly Claim[]): Promise<ClaimVerdict[]> {
        const verdicts = await this.options.local.claim(shard, claims);
        return this.isOwner(shard) ? verdicts : verdicts.map(verdict => ({ ...verdict, isUnclaimed: false }));
    }

    /**
     * Claims a key, and retries as the same claimant until there is a final verdict or the time limit has passed. A lost
     * response does no harm, since claiming again as the same claimant is idempotent.
     * @param parent - Parent span of the calls to peers.
     */
    async claim(claim: Claim, parent: TraceContext): Promise<ClaimVerdict> {
        const { clock, shards, giveUpMilliseconds } = this.options;
        const shard = this.options.getShardOfKey(claim.key, shards);
        const giveUpAt = clock.getMonotonicTime() + giveUpMilliseconds;
        // Makes at least one attempt, also if the process was paused beyond the time limit.
        for (let attempt = 0; attempt === 0 || clock.getMonotonicTime() < giveUpAt; attempt += 1) {
            const candidates = this.getOwners(shard);
            const nodeId = candidates[attempt % candidates.length];
            const verdict = nodeId === undefined ? undefined : await this.claimAt(nodeId, shard, claim, parent);
            if (verdict !== undefined && verdict.outcome !== ClaimOutcome.NotOwner) {
                return verdict;
            }
            await new Promise<void>(resolve => void clock.setTimer(retryDelayMilliseconds, resolve));
        }
        const message = "No node could record the claim in time.";
        return { outcome: ClaimOutcome.Unavailable, message };
    }

    private async claimAt(
        nodeId: string,
        shard: number,
        claim: Claim,
        parent: TraceContext,
    ): Promise<ClaimVerdict | undefined> {
        const { view, peers } = this.options;
        if (nodeId === view.getSelf().nodeId) {
            const [verdict] = await this.claimLocally(shard, [claim]);
            return verdict;
        }
        const address = view.getMember(nodeId)?.peerAddress;
        if (address === undefined) {
            return undefined;
        }
        const request = create(ClaimRequestSchema, { shard, items: [claim] });
        const span = this.options.tracing.startSpan("peer call", {
            parent,
            attributes: { peer: nodeId, call: "claim" },
        });
        const response = await peers.claim(address, request, { timeoutMilliseconds: callTimeoutMilliseconds });
        span.end();
        const verdict = response.ok ? response.val.verdicts[0] : undefined;
        return verdict === undefined ? undefined : toClaimVerdict(verdict);
    }

    private isOwner(shard: number): boolean {
        return this.getOwners(shard)[0] === this.options.view.getSelf().nodeId;
    }

    private getOwners(shard: number): string[] {
        const nodeIds = getAssignableNodeIds(this.options.view);
        const self = this.options.view.getSelf().nodeId;
        const owners = this.options.owners.getOwners(`claims-${shard}`, nodeIds, candidateCount);
        return owners.length > 0 ? owners : [self];
    }
}

const outcomes: ReadonlySet<string> = new Set(Object.values(ClaimOutcome));

function toClaimVerdict(
    verdict: { outcome: string; claimant: string; nodeId: string; isUnclaimed: boolean; },
): ClaimVerdict | undefined {
    const { outcome, claimant, nodeId, isUnclaimed } = verdict;
    return outcomes.has(outcome) ? { outcome: outcome as ClaimOutcome, claimant, nodeId, isUnclaimed } : undefined;
}
