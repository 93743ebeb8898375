import { create, type MessageInitShape } from "@bufbuild/protobuf";
import type { PeerConnections } from "../connection/peer/peerConnections.ts";
import {
    type KeptAnswerItem,
    type KeptAnswerItemSchema,
    TakeKeptAnswersRequestSchema,
} from "../wire/generated/foxlead/peer/v1/peer_pb.ts";
import type { Clock } from "./clock.ts";
import type { KeptAnswers } from "./keptAnswers.ts";
import { getAssignableNodeIds } from "./membership/getAssignableNodeIds.ts";
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

/** Limit on the total size of the bodies in one message; a single larger body is sent alone. */
const maximumMessageBytes = 512 * 1024;
/** Limits how much the transfer can delay a shutdown. */
const maximumTransferMilliseconds = 5_000;
/** Number of nodes that may hold the answer of a key: the first candidate, and the next ones if nodes have joined since. */
const holderCount = 3;

/**
 * Transfers the kept answers of a node that shuts down to other nodes, chosen by rendezvous hashing of each key, so that
 * retries after a rolling restart still get them.
 */
export class KeptAnswerHandOff {
    private readonly options: KeptAnswerHandOffOptions;

    private constructor(options: KeptAnswerHandOffOptions) {
        this.options = options;
    }

    /** Creates the hand-off. */
    static create(options: KeptAnswerHandOffOptions): KeptAnswerHandOff {
        return new KeptAnswerHandOff(options);
    }

    /** Gets the nodes that may have received the answer of a key, the most likely first. */
    getHolders(key: string): string[] {
        const nodeIds = getAssignableNodeIds(this.options.view).filter(nodeId => nodeId !== this.options.nodeId);
        return this.options.owners.getOwners(`kept-${key}`, nodeIds, holderCount);
    }

    /**
     * Transfers the answers of this node, the most recently used of each receiving node first. Answers that are not sent
     * within the time limit are lost.
     */
    async transfer(): Promise<void> {
        const { clock } = this.options;
        const deadline = clock.getMonotonicTime() + maximumTransferMilliseconds;
        for (const [nodeId, items] of this.groupByHolder()) {
            for (const batch of splitByBytes(items)) {
                if (clock.getMonotonicTime() > deadline) {
                    return;
                }
                await this.send(nodeId, batch);
            }
        }
    }

    /** Stores the answers of a node that shuts down. The state that this node already has for a key takes precedence. */
    receive(items: readonly KeptAnswerItem[]): void {
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
        if (batch.length > 0 && bytes + itemBytes > maximumMessageBytes) {
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
