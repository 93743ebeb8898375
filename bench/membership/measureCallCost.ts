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
const measuredConnections = 300;
const log = { write: () => undefined };

/** The cost of one heartbeat over a real loopback connection. */
interface CallCost {
    /** Bytes of the two protobuf messages. */
    messageBytes: number;
    /** Bytes in both directions over an open connection, without TCP and IP headers. */
    warmBytes: number;
    /** Bytes in both directions including the connection setup, without TCP and IP headers. */
    coldBytes: number;
    /** Processor time of both ends together on an open connection. */
    warmCpuMicroseconds: number;
    /** Processor time of both ends together, including the connection setup. */
    coldCpuMicroseconds: number;
    /** Resident memory of an open connection, both ends together. */
    connectionBytes: number;
}

/** Measures one heartbeat between two nodes in this process. */
export async function measureCallCost(): Promise<CallCost> {
    const fleet = SimulatedFleet.create(2, 1, 500, 0, 1);
    const [first, second] = fleet.nodes as [SimulatedNode, SimulatedNode];
    const gossip = async (request: GossipRequest) => second.exchange.handleRequest(request, 0);
    const handlers = { gossip } as unknown as PeerHandlers;
    const server = await PeerServer.create({ address: "127.0.0.1:0", secret, log, handlers });
    const request = first.exchange.createHeartbeat(undefined);
    const requestBytes = toBinary(GossipRequestSchema, request).length;
    const responseBytes = toBinary(GossipResponseSchema, await gossip(request)).length;
    const cost: CallCost = {
        messageBytes: requestBytes + responseBytes,
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
    const proxy = await LoopbackProxy.create(() => server.getAddress());
    const connections = PeerConnections.create({ secret, log });
    await callMany(connections, proxy.getAddress(), request, 1);
    const coldBytes = proxy.getByteCount();
    await callMany(connections, proxy.getAddress(), request, coldCalls);
    const warmBytes = (proxy.getByteCount() - coldBytes) / coldCalls;
    connections.close();
    await proxy.close();
    return { warmBytes, coldBytes };
}

async function measureProcessorTime(
    server: PeerServer,
    request: GossipRequest,
): Promise<Pick<CallCost, "warmCpuMicroseconds" | "coldCpuMicroseconds">> {
    const connections = PeerConnections.create({ secret, log });
    await callMany(connections, server.getAddress(), request, warmCalls);
    const warmUsageBefore = process.cpuUsage();
    await callMany(connections, server.getAddress(), request, warmCalls);
    const warmUsage = process.cpuUsage(warmUsageBefore);
    connections.close();
    const coldUsageBefore = process.cpuUsage();
    for (let call = 0; call < coldCalls; call++) {
        const fresh = PeerConnections.create({ secret, log });
        await callMany(fresh, server.getAddress(), request, 1);
        fresh.close();
    }
    const coldUsage = process.cpuUsage(coldUsageBefore);
    return {
        warmCpuMicroseconds: (warmUsage.user + warmUsage.system) / warmCalls,
        coldCpuMicroseconds: (coldUsage.user + coldUsage.system) / coldCalls,
    };
}

async function measureMemory(server: PeerServer, request: GossipRequest): Promise<number> {
    const bytesBefore = process.memoryUsage().rss;
    const opened: PeerConnections[] = [];
    for (let index = 0; index < measuredConnections; index++) {
        const connections = PeerConnections.create({ secret, log });
        await callMany(connections, server.getAddress(), request, 1);
        opened.push(connections);
    }
    const growthBytes = process.memoryUsage().rss - bytesBefore;
    for (const connections of opened) {
        connections.close();
    }
    return growthBytes / measuredConnections;
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
