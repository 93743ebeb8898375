import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { GossipExchange } from "../../src/process/membership/gossipExchange.ts";
import { memberCodec } from "../../src/process/membership/memberCodec.ts";
import { MembershipView } from "../../src/process/membership/membershipView.ts";
import { PeerRotation } from "../../src/process/membership/peerRotation.ts";
import {
    EndpointRecordSchema,
    GossipRequestSchema,
    type GossipResponse,
    GossipResponseSchema,
} from "../../src/wire/generated/foxlead/peer/v1/peer_pb.ts";
import type { SimulatedNode } from "./simulatedNode.ts";

/** More rounds than a change is transmitted in at 340 members. */
const settleRounds = 20;
const suspicionTimeoutMilliseconds = 3_000;

/** A simulated cluster whose nodes exchange gossip messages without sockets. */
export class SimulatedFleet {
    readonly nodes: SimulatedNode[] = [];
    /** Total size of the messages sent so far, in bytes. */
    sentBytes = 0;
    /** Number of messages sent so far. */
    sentMessages = 0;
    private readonly fanOut: number;
    private readonly random: () => number;
    private now = 0;
    private readonly intervalMilliseconds: number;

    private constructor(
        size: number,
        fanOut: number,
        intervalMilliseconds: number,
        payloadRecords: number,
        seed: number,
    ) {
        this.intervalMilliseconds = intervalMilliseconds;
        this.fanOut = fanOut;
        const generator = xoroshiro128plus(seed);
        this.random = () => (generator.next() >>> 0) / 2 ** 32;
        for (let index = 0; index < size; index++) {
            this.nodes.push(this.createNode(index, payloadRecords));
        }
        for (const node of this.nodes) {
            this.pull(node);
        }
    }

    /**
     * Creates nodes that all know each other and have no changes left to send.
     * @param size - Number of nodes.
     * @param fanOut - Number of peers that each node contacts per round.
     * @param intervalMilliseconds - Time between two rounds.
     * @param payloadRecords - Number of endpoint records in each message.
     * @param seed - Seed of the random order in which peers are contacted.
     */
    static create(
        size: number,
        fanOut: number,
        intervalMilliseconds: number,
        payloadRecords: number,
        seed: number,
    ): SimulatedFleet {
        const fleet = new SimulatedFleet(size, fanOut, intervalMilliseconds, payloadRecords, seed);
        fleet.settle();
        return fleet;
    }

    /** Adds a node that has pulled the full view. */
    addNode(payloadRecords: number): SimulatedNode {
        const node = this.createNode(this.nodes.length, payloadRecords);
        this.nodes.push(node);
        this.pull(node);
        return node;
    }

    /** Applies the full view to a node, as after a pull. */
    private pull(node: SimulatedNode): void {
        const members = this.nodes.map(other => memberCodec.encode(other.view.getSelf()));
        const response: GossipResponse = create(GossipResponseSchema, { members });
        node.exchange.applyResponse(response, "", true, this.now);
    }

    /** Drains the queues of changes that the creation of the nodes has filled. */
    private settle(): void {
        for (let round = 0; round < settleRounds; round++) {
            for (const node of this.nodes) {
                node.exchange.createHeartbeat(undefined);
            }
        }
    }

    /**
     * Runs rounds until a condition holds.
     * @param isDone - The condition.
     * @param maximumRounds - Rounds after which to stop even if the condition doesn't hold.
     * @returns The number of rounds that were run.
     */
    runUntil(isDone: () => boolean, maximumRounds: number): number {
        let round = 0;
        while (!isDone() && round < maximumRounds) {
            this.runRound();
            round++;
        }
        return round;
    }

    /** Runs one round, in which each node contacts `fanOut` of its peers. */
    runRound(): void {
        this.now += this.intervalMilliseconds;
        for (const node of this.nodes) {
            if (node.isUp) {
                node.view.advance(this.now);
                this.contactPeers(node);
            }
        }
    }

    private contactPeers(node: SimulatedNode): void {
        const self = node.view.getSelf().nodeId;
        const peers = node.view.getMembers().filter(member => member.nodeId !== self && member.state !== "dead");
        for (const nodeId of node.rotation.select(peers.map(peer => peer.nodeId), this.fanOut)) {
            this.exchange(node, nodeId);
        }
    }

    /** Runs one gossip exchange, in which messages are encoded and decoded as on a connection. */
    private exchange(node: SimulatedNode, nodeId: string): void {
        const peer = this.nodes[Number(nodeId.split("-")[1])] as SimulatedNode;
        const requestBytes = toBinary(GossipRequestSchema, node.exchange.createHeartbeat(node.view.getMember(nodeId)));
        this.count(requestBytes);
        if (!peer.isUp) {
            node.view.noteMiss(nodeId, this.now);
            return;
        }
        const response = peer.exchange.handleRequest(fromBinary(GossipRequestSchema, requestBytes), this.now);
        const responseBytes = toBinary(GossipResponseSchema, response);
        this.count(responseBytes);
        const address = peer.view.getSelf().peerAddress;
        node.exchange.applyResponse(fromBinary(GossipResponseSchema, responseBytes), address, false, this.now);
        node.view.noteContact(nodeId);
    }

    private count(message: Uint8Array): void {
        this.sentBytes += message.length;
        this.sentMessages++;
    }

    private createNode(index: number, payloadRecords: number): SimulatedNode {
        const view = MembershipView.create({
            nodeId: `entry-${index}`,
            peerAddress: `10.${index % 10}.${Math.floor(index / 200)}.${index % 200}:7400`,
            dataCentre: `data-centre-${index % 10}`,
            incarnation: 1_790_000_000_000 + index,
            configurationVersion: 12_345,
            suspicionTimeoutMilliseconds,
        });
        const endpoints = Array.from({ length: payloadRecords }, (_, number) =>
            create(EndpointRecordSchema, {
                endpoint: `runner-${number}`,
                observer: `entry-${index}`,
                sequence: 123_456n,
                state: "serving",
                queueDepth: 17,
                freeTokens: 150_000,
            }));
        const exchange = GossipExchange.create({
            view,
            payloads: {
                collectEndpointRecords: () => endpoints,
                applyEndpointRecords: () => undefined,
                collectDemandRecords: () => [],
                applyDemandRecords: () => undefined,
            },
            onPeerConfigurationVersion: () => undefined,
        });
        return { view, exchange, rotation: PeerRotation.create(this.random), isUp: true };
    }
}
