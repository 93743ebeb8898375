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

/** Options of a {@link GossipExchange}. */
interface GossipExchangeOptions {
    view: MembershipView;
    payloads: GossipPayloads;
    /** Most membership changes in one message. Default 8. */
    piggybackLimit?: number;
    /** Most bytes of endpoint and demand records in one message. Default 256. */
    payloadBudgetBytes?: number;
    /** Called when a peer reports a higher configuration version than this node's. */
    onPeerConfigurationVersion(version: number, peerAddress: string): void;
}

/**
 * Builds and handles gossip messages. Does no I/O. There are two kinds of requests: a heartbeat, which carries the node's
 * own record and recent changes, and a pull, which has no member records and is answered with the full view.
 */
export class GossipExchange {
    private readonly view: MembershipView;
    private readonly payloads: GossipPayloads;
    private readonly queue = ChangeQueue.create();
    private isApplyingFullView = false;
    private readonly piggybackLimit: number;
    private readonly payloadBudgetBytes: number;
    private readonly onPeerConfigurationVersion: (version: number, peerAddress: string) => void;

    private constructor(options: GossipExchangeOptions) {
        this.view = options.view;
        this.payloads = options.payloads;
        this.piggybackLimit = options.piggybackLimit ?? defaultPiggybackLimit;
        this.payloadBudgetBytes = options.payloadBudgetBytes ?? defaultPayloadBudgetBytes;
        this.onPeerConfigurationVersion = options.onPeerConfigurationVersion;
        this.queue.add(this.view.getSelf());
        this.view.onChange(change => this.queueChange(change));
    }

    /** Creates an exchange that listens for changes of the view. */
    static create(options: GossipExchangeOptions): GossipExchange {
        return new GossipExchange(options);
    }

    /**
     * Builds a heartbeat.
     * @param peer - Record of the peer. It is included if the peer is not considered alive, so that the peer can refute it.
     */
    createHeartbeat(peer: Member | undefined): GossipRequest {
        const first = [this.view.getSelf()];
        if (peer !== undefined && peer.state !== MemberState.Alive) {
            first.push(peer);
        }
        return create(GossipRequestSchema, {
            fromNodeId: this.view.getSelf().nodeId,
            members: this.addChanges(first).map(memberCodec.encode),
            endpoints: this.payloads.collectEndpointRecords(this.payloadBudgetBytes / 2),
            demands: this.payloads.collectDemandRecords(this.payloadBudgetBytes / 2),
        });
    }

    /** Builds a request for the peer's full view. */
    createPull(): GossipRequest {
        return create(GossipRequestSchema, { fromNodeId: this.view.getSelf().nodeId });
    }

    /** Handles a peer's request. */
    handleRequest(request: GossipRequest, now: number): GossipResponse {
        const received = memberCodec.decodeAll(request.members);
        this.view.applyRecords(received, now);
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
        const members = isPull ? this.view.getMembers() : this.addChanges(this.getCorrections(received));
        return create(GossipResponseSchema, this.createResponse(members));
    }

    /**
     * Handles the response to a request.
     * @param response - Response of the peer.
     * @param peerAddress - host:port of the peer.
     * @param isPull - Whether the request was a pull.
     * @param now - Monotonic time in milliseconds.
     */
    applyResponse(response: GossipResponse, peerAddress: string, isPull: boolean, now: number): void {
        const members = memberCodec.decodeAll(response.members);
        if (isPull) {
            this.applyFullView(members, now);
        }
        else {
            this.view.applyRecords(members, now);
        }
        this.payloads.applyEndpointRecords(response.endpoints);
        this.reportVersion(Number(response.configurationVersion), peerAddress);
    }

    /** Records the configuration version in a known peer's response. */
    recordVersion(nodeId: string, response: GossipResponse, now: number): void {
        const member = this.view.getMember(nodeId);
        const configurationVersion = Number(response.configurationVersion);
        if (member !== undefined && configurationVersion > member.configurationVersion) {
            this.view.applyRecords([{ ...member, configurationVersion }], now);
        }
    }

    private createResponse(members: readonly Member[]): MessageInitShape<typeof GossipResponseSchema> {
        return {
            members: members.map(memberCodec.encode),
            endpoints: this.payloads.collectEndpointRecords(this.payloadBudgetBytes),
            configurationVersion: BigInt(this.view.getSelf().configurationVersion),
        };
    }

    /** Gets the known records that supersede received ones, such as the refutation of a suspicion of this node. */
    private getCorrections(received: readonly Member[]): Member[] {
        const corrections: Member[] = [];
        for (const record of received) {
            const known = this.view.getMember(record.nodeId);
            if (known !== undefined && mergeMember(record, known) !== record) {
                corrections.push(known);
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

    private applyFullView(members: readonly Member[], now: number): void {
        this.isApplyingFullView = true;
        try {
            this.view.applyWholeView(members, now);
        }
        finally {
            this.isApplyingFullView = false;
        }
    }

    private queueChange(change: MemberChange): void {
        // The next heartbeats carry a new version. Relaying each node's version would cost messages quadratic in the nodes.
        if (change.isVersionOnly) {
            return;
        }
        // The other nodes already know the records of a peer's full view, except for those that this node has changed.
        const isOwnChange = change.member.state === MemberState.Suspect || change.member === this.view.getSelf();
        if (!this.isApplyingFullView || isOwnChange) {
            this.queue.add(change.member);
        }
    }

    private reportVersion(version: number, peerAddress: string): void {
        if (version > this.view.getSelf().configurationVersion) {
            this.onPeerConfigurationVersion(version, peerAddress);
        }
    }
}
