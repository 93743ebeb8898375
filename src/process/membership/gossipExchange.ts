import { create, type MessageInitShape } from "@bufbuild/protobuf";
import {
    type GossipRequest,
    GossipRequestSchema,
    type GossipResponse,
    GossipResponseSchema,
} from "../../wire/generated/foxlead/peer/v1/peer_pb.ts";
import { ChangeQueue } from "./changeQueue.ts";
import type { GossipPayloads } from "./gossipPayloads.ts";
import type { Member } from "./member.ts";
import type { MemberChange } from "./memberChange.ts";
import { memberCodec } from "./memberCodec.ts";
import type { MembershipView } from "./membershipView.ts";
import { MemberState } from "./memberState.ts";
import { mergeMember } from "./mergeMember.ts";

const defaultPiggybackLimit = 8;
const defaultPayloadBudgetBytes = 256;

/** Options of the gossip messages. */
interface GossipExchangeOptions {
    view: MembershipView;
    payloads: GossipPayloads;
    /** Most recent changes of the membership in one message. Default 8. */
    piggybackLimit?: number;
    /** Most bytes of endpoint and demand records in one message. Default 256. */
    payloadBudgetBytes?: number;
    /** Called when a peer reports a version of the configuration that is higher than the own one. */
    onPeerConfigurationVersion(version: number, peerAddress: string): void;
}

/**
 * Builds and takes in gossip messages; no input or output. Two forms of request exist: a heartbeat, which carries the
 * own record and recent changes, and a pull without any member record, which is answered with the whole view.
 */
export class GossipExchange {
    private readonly view: MembershipView;
    private readonly payloads: GossipPayloads;
    private readonly queue = ChangeQueue.create();
    private isApplyingWholeView = false;
    private readonly piggybackLimit: number;
    private readonly payloadBudget: number;
    private readonly onPeerConfigurationVersion: (version: number, peerAddress: string) => void;

    private constructor(options: GossipExchangeOptions) {
        this.view = options.view;
        this.payloads = options.payloads;
        this.piggybackLimit = options.piggybackLimit ?? defaultPiggybackLimit;
        this.payloadBudget = options.payloadBudgetBytes ?? defaultPayloadBudgetBytes;
        this.onPeerConfigurationVersion = options.onPeerConfigurationVersion;
        this.queue.add(this.view.getSelf());
        this.view.onChange(change => this.queueChange(change));
    }

    /** Creates the exchange and follows the view's changes. */
    static create(options: GossipExchangeOptions): GossipExchange {
        return new GossipExchange(options);
    }

    /**
     * Builds a heartbeat.
     * @param peer - Record of the peer; it is told what is believed of it, so that it can refute that.
     */
    createHeartbeat(peer: Member | undefined): GossipRequest {
        const first = [this.view.getSelf()];
        if (peer !== undefined && peer.state !== MemberState.Alive) {
            first.push(peer);
        }
        return create(GossipRequestSchema, {
            fromNodeId: this.view.getSelf().nodeId,
            members: this.addChanges(first).map(memberCodec.encode),
            endpoints: this.payloads.collectEndpointRecords(this.payloadBudget / 2),
            demands: this.payloads.collectDemandRecords(this.payloadBudget / 2),
        });
    }

    /** Builds a request for the peer's whole view. */
    createPull(): GossipRequest {
        return create(GossipRequestSchema, { fromNodeId: this.view.getSelf().nodeId });
    }

    /** Answers a request of a peer. */
    answer(request: GossipRequest, now: number): GossipResponse {
        const heard = memberCodec.decodeAll(request.members);
        this.view.applyRecords(heard, now);
        this.view.noteContact(request.fromNodeId);
        this.payloads.applyEndpointRecords(request.endpoints);
        const isPull = request.members.length === 0;
        if (!isPull) {
            this.payloads.applyDemandRecords(request.demands, request.fromNodeId);
        }
        const sender = this.view.getMember(request.fromNodeId);
        if (sender !== undefined) {
            this.reportVersion(sender.configurationVersion, sender.peerAddress);
        }
        const members = isPull ? this.view.getMembers() : this.addChanges(this.getCorrections(heard));
        return create(GossipResponseSchema, this.createResponse(members));
    }

    /**
     * Takes in the answer to a request.
     * @param response - The answer.
     * @param peerAddress - host:port of the peer.
     * @param isPull - Whether the request was a pull.
     * @param now - Monotonic milliseconds.
     */
    applyResponse(response: GossipResponse, peerAddress: string, isPull: boolean, now: number): void {
        const members = memberCodec.decodeAll(response.members);
        if (isPull) {
            this.applyWholeView(members, now);
        }
        else {
            this.view.applyRecords(members, now);
        }
        this.payloads.applyEndpointRecords(response.endpoints);
        this.reportVersion(Number(response.configurationVersion), peerAddress);
    }

    /** Notes the version that a known peer answered with. */
    noteVersion(nodeId: string, response: GossipResponse, now: number): void {
        const member = this.view.getMember(nodeId);
        const configurationVersion = Number(response.configurationVersion);
        if (member !== undefined && configurationVersion > member.configurationVersion) {
            this.view.applyRecords([{ ...member, configurationVersion }], now);
        }
    }

    private createResponse(members: readonly Member[]): MessageInitShape<typeof GossipResponseSchema> {
        return {
            members: members.map(memberCodec.encode),
            endpoints: this.payloads.collectEndpointRecords(this.payloadBudget),
            configurationVersion: BigInt(this.view.getSelf().configurationVersion),
        };
    }

    /** Gets the held records that beat those the peer sent: among them the refutation of a suspicion of this node. */
    private getCorrections(heard: readonly Member[]): Member[] {
        const corrections: Member[] = [];
        for (const record of heard) {
            const held = this.view.getMember(record.nodeId);
            if (held !== undefined && mergeMember(record, held) !== record) {
                corrections.push(held);
            }
        }
        return corrections;
    }

    private addChanges(first: readonly Member[]): Member[] {
        const members = new Map(first.map(member => [member.nodeId, member]));
        for (const change of this.queue.take(this.piggybackLimit, this.view.getAliveMembers().length)) {
            members.set(change.nodeId, change);
        }
        return [...members.values()];
    }

    private applyWholeView(members: readonly Member[], now: number): void {
        this.isApplyingWholeView = true;
        try {
            this.view.applyWholeView(members, now);
        }
        finally {
            this.isApplyingWholeView = false;
        }
    }

    private queueChange(change: MemberChange): void {
        // A new version reaches the others with the next heartbeats; to pass on each node's would cost the square.
        if (change.isVersionOnly) {
            return;
        }
        // The others know what stands in a peer's whole view; only what this node has made of it is new to them.
        const isOwnWord = change.member.state === MemberState.Suspect || change.member === this.view.getSelf();
        if (!this.isApplyingWholeView || isOwnWord) {
            this.queue.add(change.member);
        }
    }

    private reportVersion(version: number, peerAddress: string): void {
        if (version > this.view.getSelf().configurationVersion) {
            this.onPeerConfigurationVersion(version, peerAddress);
        }
    }
}
