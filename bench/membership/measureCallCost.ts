import { toBinary } from "@bufbuild/protobuf";
import { PeerConnections } from "../../src/connection/peer/peerConnections.ts";
import type { PeerHandlers } from "../../src/connection/peer/peerHandlers.ts";
import { PeerServer } from "../../src/connection/peer/peerServer.ts";
import {
    type GossipRequest,
    GossipRequestSchema,
    GossipResponseSchema,
} from "../../src/wire/generated/foxlead/peer/v1/peer_pb.ts";
import { LoopbackProxy } from "../../standins/network/loopbackProxy.ts";
import { SimulatedFleet } from "./simulatedFleet.ts";
import type { SimulatedNode } from "./simulatedNode.ts";

const secret = "a-secret-of-usual-length-0123456789";
const warmCalls = 2_000;
const coldCalls = 200;
const heldConnections = 300;
const log = { write: () => undefined };

/** What one heartbeat costs over a real loopback connection. */
interface CallCost {
    /** Bytes of the two protobuf messages. */
    messageBytes: number;
    /** Bytes on an open connection, without TCP and IP headers. */
    warmBytes: number;
    /** Bytes with the opening of the connection. */
    coldBytes: number;
    /** Processor microseconds of both ends on an open connection. */
    warmCpuMicroseconds: number;
    /** The same with the opening of the connection. */
    coldCpuMicroseconds: number;
    /** Resident bytes of an open connection, both ends. */
    connectionBytes: number;
}

/** Measures one heartbeat between two nodes in this process. */
export async function measureCallCost(): Promise<CallCost> {
    const fleet = SimulatedFleet.create(2, 1, 500, 0, 1);
    const [first, second] = fleet.nodes as [SimulatedNode, SimulatedNode];
    const gossip = async (request: GossipRequest) => second.exchange.answer(request, 0);
    const handlers = { gossip } as unknown as PeerHandlers;
    const server = await PeerServer.create({ address: "127.0.0.1:0", secret, log, handlers });
    const request = first.exchange.createHeartbeat(undefined);
    const requestBytes = toBinary(GossipRequestSchema, request).length;
    const answerBytes = toBinary(GossipResponseSchema, await gossip(request)).length;
    const cost: CallCost = {
        messageBytes: requestBytes + answerBytes,
        ...await measureBytes(server, request),
        ...await measureProcessorTime(server, request),
        connectionBytes: await measureMemory(server, request),
    };
    await server.close(0);
    return cost;
}

async function measureBytes(
    server: PeerServer,
    request: GossipRequest,
): Promise<Pick<CallCost, "warmBytes" | "coldBytes">> {
    const relay = await LoopbackProxy.create(() => server.getAddress());
    const connections = PeerConnections.create({ secret, log });
    await callMany(connections, relay.getAddress(), request, 1);
    const coldBytes = relay.getByteCount();
    await callMany(connections, relay.getAddress(), request, coldCalls);
    const warmBytes = (relay.getByteCount() - coldBytes) / coldCalls;
    connections.close();
    await relay.close();
    return { warmBytes, coldBytes };
}

async function measureProcessorTime(
    server: PeerServer,
    request: GossipRequest,
): Promise<Pick<CallCost, "warmCpuMicroseconds" | "coldCpuMicroseconds">> {
    const connections = PeerConnections.create({ secret, log });
    await callMany(connections, server.getAddress(), request, warmCalls);
    const beforeWarm = process.cpuUsage();
    await callMany(connections, server.getAddress(), request, warmCalls);
    const warm = process.cpuUsage(beforeWarm);
    connections.close();
    const beforeCold = process.cpuUsage();
    for (let call = 0; call < coldCalls; call++) {
        const fresh = PeerConnections.create({ secret, log });
        await callMany(fresh, server.getAddress(), request, 1);
        fresh.close();
    }
    const cold = process.cpuUsage(beforeCold);
    return {
        warmCpuMicroseconds: (warm.user + warm.system) / warmCalls,
        coldCpuMicroseconds: (cold.user + cold.system) / coldCalls,
    };
}

async function measureMemory(server: PeerServer, request: GossipRequest): Promise<number> {
    const before = process.memoryUsage().rss;
    const held: PeerConnections[] = [];
    for (let index = 0; index < heldConnections; index++) {
        const connections = PeerConnections.create({ secret, log });
        await callMany(connections, server.getAddress(), request, 1);
        held.push(connections);
    }
    const grown = process.memoryUsage().rss - before;
    for (const connections of held) {
        connections.close();
    }
    return grown / heldConnections;
}

async function callMany(
    connections: PeerConnections,
    address: string,
    request: GossipRequest,
    count: number,
): Promise<void> {
    for (let call = 0; call < count; call++) {
        const result = await connections.gossip(address, request);
        if (result.err) {
            throw new Error(result.val.message);
        }
    }
}
