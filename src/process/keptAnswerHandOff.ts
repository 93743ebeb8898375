import { create, type MessageInitShape } from "@bufbuild/protobuf";
import type { PeerConnections } from "../connection/peer/peerConnections.ts";
import {
    type KeptAnswerItem,
    type KeptAnswerItemSchema,
    TakeKeptAnswersRequestSchema,
} from "../wire/generated/foxlead/peer/v1/peer_pb.ts";
import type { Clock } from "./clock.ts";
import type { KeptAnswers } from "./keptAnswers.ts";
import { getDutyNodeIds } from "./membership/getDutyNodeIds.ts";
import type { MembershipView } from "./membership/membershipView.ts";
import type { RendezvousOwners } from "./membership/rendezvousOwners.ts";

/** Options of a {@link KeptAnswerHandOff}. */
interface KeptAnswerHandOffOptions {
    nodeId: string;
    kept: KeptAnswers;
    peers: PeerConnections;
    view: MembershipView;
    owners: RendezvousOwners;
    clock: Clock;
}

/** Answers of one message, in bytes of their bodies. */
const messageBytes = 512 * 1024;
/** A shutdown spends no longer on this, in milliseconds. */
const longestMilliseconds = 5_000;
/** Nodes that may hold the answer of a key: the first of them, and others where nodes have come since. */
const holderCount = 3;

/**
 * Passes the kept answers of a node that shuts down to other nodes, by rendezvous hashing of each key, so that repeats
 * after a rolling restart still get them.
 */
export class KeptAnswerHandOff {
    private readonly options: KeptAnswerHandOffOptions;

    private constructor(options: KeptAnswerHandOffOptions) {
        this.options = options;
    }

    /** Creates the hand-off of a node. */
    static create(options: KeptAnswerHandOffOptions): KeptAnswerHandOff {
        return new KeptAnswerHandOff(options);
    }

    /**
     * Gets the nodes that may have been given the answer of a key, the likeliest first.
     * @param key - The key.
     */
    getHolders(key: string): string[] {
        const nodeIds = getDutyNodeIds(this.options.view).filter(nodeId => nodeId !== this.options.nodeId);
        return this.options.owners.getOwners(`kept-${key}`, nodeIds, holderCount);
    }

    /** Passes on what this node keeps, the most recently used first; what is left after some seconds is lost. */
    async passOn(): Promise<void> {
        const { clock } = this.options;
        const endAt = clock.getMonotonicTime() + longestMilliseconds;
        for (const [nodeId, items] of this.groupByHolder()) {
            for (const batch of splitByBytes(items)) {
                if (clock.getMonotonicTime() > endAt) {
                    return;
                }
                await this.send(nodeId, batch);
            }
        }
    }

    /** Takes the answers of a node that shuts down; what is known of a key here goes before them. */
    take(items: readonly KeptAnswerItem[]): void {
        for (const { key, claimant, bodyHash, status, contentType, body } of items) {
            if (this.options.kept.getState(key) === undefined) {
                const answer = { status, contentType, body: Buffer.from(body) };
                this.options.kept.setState(key, { kind: "finished", claimant, bodyHash, answer });
            }
        }
    }

    private groupByHolder(): Map<string, MessageInitShape<typeof KeptAnswerItemSchema>[]> {
        const groups = new Map<string, MessageInitShape<typeof KeptAnswerItemSchema>[]>();
        for (const { key, state } of this.options.kept.getFinished()) {
            const [nodeId] = this.getHolders(key);
            if (nodeId !== undefined) {
                const { claimant, bodyHash, answer } = state;
                const group = groups.get(nodeId) ?? [];
                group.push({ key, claimant, bodyHash, ...answer });
                groups.set(nodeId, group);
            }
        }
        return groups;
    }

    private async send(nodeId: string, items: MessageInitShape<typeof KeptAnswerItemSchema>[]): Promise<void> {
        const address = this.options.view.getMember(nodeId)?.peerAddress;
        if (address !== undefined) {
            await this.options.peers.takeKeptAnswers(address, create(TakeKeptAnswersRequestSchema, { items }));
        }
    }
}

function* splitByBytes<T extends { body?: Uint8Array; }>(items: readonly T[]): Generator<T[]> {
    let batch: T[] = [];
    let bytes = 0;
    for (const item of items) {
        const itemBytes = item.body?.length ?? 0;
        if (batch.length > 0 && bytes + itemBytes > messageBytes) {
            yield batch;
            batch = [];
            bytes = 0;
        }
        batch.push(item);
        bytes += itemBytes;
    }
    if (batch.length > 0) {
        yield batch;
    }
}
