import { create } from "@bufbuild/protobuf";
import { PeerConnections } from "../../src/connection/peer/peerConnections.ts";
import type { PeerHandlers } from "../../src/connection/peer/peerHandlers.ts";
import { PeerServer } from "../../src/connection/peer/peerServer.ts";
import { MembershipView } from "../../src/process/membership/membershipView.ts";
import { ClaimRequestSchema, GetConfigurationRequestSchema } from "../../src/wire/generated/foxlead/peer/v1/peer_pb.ts";
import { measureCallCost } from "../membership/measureCallCost.ts";
import { SimulatedFleet } from "../membership/simulatedFleet.ts";
import { countWireBytes } from "./countWireBytes.ts";
import { createMembers } from "./createMembers.ts";
import { fitSlope } from "./fitSlope.ts";
import { measureHeap } from "./measureHeap.ts";
import { measureProcessorTime } from "./measureProcessorTime.ts";
import type { PeerFigures } from "./peerFigures.ts";
import type { Slope } from "./slope.ts";

const role = "peer member";
const secret = "a-secret-of-usual-length-0123456789";
const log = { write: () => undefined };
const sizes = [30, 100, 340];
const fanOut = 3;
const intervalMilliseconds = 500;
/** Number of endpoint records that take about the default payload budget, as in bench/membership.ts. */
const payloadRecords = 6;
const textFetches = 5;
const verdict = { outcome: "granted", claimant: "018f9c1e-7b5a-7c31-9d5e-0a1b2c3d4e5f", nodeId: "entry-120" };

/** Measures the membership by number of members, and the claim and configuration calls between two nodes. */
export async function measurePeers(): Promise<{ slopes: Slope[]; figures: PeerFigures; }> {
    const call = await measureCallCost();
    const overheadBytes = call.warmBytes - call.messageBytes;
    const bytes = [];
    const processor = [];
    const heap = [];
    for (const members of sizes) {
        const cost = await measureSteady(members);
        bytes.push({ x: members, y: cost.messageBytes + cost.messages / 2 * overheadBytes });
        // An exchange has two messages, each with a sender and a receiver, so one end of one message takes a quarter.
        processor.push({ x: members, y: cost.processor + cost.messages / 4 * call.warmCpuMicroseconds / 1_000 });
        heap.push({ x: members, y: measureHeap(() => createView(members), 20) });
    }
    const variable = "member";
    const slopes = [
        fitSlope({ id: "peers.bytes", role, quantity: "gossip, both directions", unit: "B/s", variable }, bytes),
        fitSlope({ id: "peers.processor", role, quantity: "gossip", unit: "ms/s", variable }, processor),
        fitSlope({ id: "peers.heap", role, quantity: "view", unit: "B", variable }, heap),
        ...await measureCalls(),
    ];
    return {
        slopes,
        figures: { exchangeMicroseconds: call.warmCpuMicroseconds, connectionBytes: call.connectionBytes },
    };
}

function createView(members: number): MembershipView {
    const view = MembershipView.create({
        nodeId: "entry-0",
        peerAddress: "10.0.0.1:7400",
        dataCentre: "data-centre-0",
        incarnation: 1,
    });
    view.applyRecords(createMembers(members), 0);
    return view;
}

/** Measures the cost of gossip per node and second in both directions, without that of the HTTP/2 calls. */
async function measureSteady(size: number) {
    const fleet = SimulatedFleet.create(size, fanOut, intervalMilliseconds, payloadRecords, size + fanOut);
    const rounds = Math.max(4, Math.floor(10_000 / size / fanOut));
    fleet.runRound();
    const { sentBytes: bytes, sentMessages: messages } = fleet;
    const spent = await measureProcessorTime(() => {
        for (let round = 0; round < rounds; round++) {
            fleet.runRound();
        }
    });
    const nodeSeconds = size * rounds * intervalMilliseconds / 1_000;
    return {
        messageBytes: 2 * (fleet.sentBytes - bytes) / nodeSeconds,
        messages: 2 * (fleet.sentMessages - messages) / nodeSeconds,
        processor: spent / 1_000 / nodeSeconds,
    };
}

async function measureCalls(): Promise<Slope[]> {
    let text = "";
    const handlers = {
        claim: () => Promise.resolve({ verdicts: [verdict] }),
        getConfiguration: () => Promise.resolve({ version: 7n, editId: "edit", text }),
    } as unknown as PeerHandlers;
    const server = await PeerServer.create({ address: "127.0.0.1:0", secret, log, handlers });
    const connections = PeerConnections.create({ secret, log });
    const claim = (peers: PeerConnections, address: string) =>
        peers.claim(address, create(ClaimRequestSchema, { shard: 1, items: [createItem()] }));
    const fetchText = () =>
        connections.getConfiguration(server.getAddress(), create(GetConfigurationRequestSchema, { knownVersion: 1n }));
    await repeat(300, () => claim(connections, server.getAddress()));
    const claimPoints = [];
    for (const calls of [250, 500, 1_000]) {
        const spent = await measureProcessorTime(() => repeat(calls, () => claim(connections, server.getAddress())));
        claimPoints.push({ x: calls, y: spent / 2 });
    }
    const bytePoints = [];
    for (const calls of [50, 100, 200]) {
        const bytes = await countWireBytes(server.getAddress(), async address => {
            const proxied = PeerConnections.create({ secret, log });
            await repeat(calls, () => claim(proxied, address));
            proxied.close();
        });
        bytePoints.push({ x: calls, y: bytes });
    }
    const textPoints = [];
    for (const kibibytes of [125, 250, 500]) {
        text = "x".repeat(kibibytes * 1_024);
        await fetchText();
        textPoints.push({
            x: kibibytes,
            y: await measureProcessorTime(() => repeat(textFetches, fetchText), 2) / 1_000 / textFetches / 2,
        });
    }
    connections.close();
    await server.close(0);
    const variable = "call";
    const follower = "claim follower";
    return [
        fitSlope(
            { id: "peers.claim", role: follower, quantity: "claim call, one end", unit: "us", variable },
            claimPoints,
        ),
        fitSlope({ id: "peers.claimBytes", role: follower, quantity: "claim call", unit: "B", variable }, bytePoints),
        fitSlope(
            { id: "peers.text", role, quantity: "text fetched, one end", unit: "ms", variable: "KiB" },
            textPoints,
        ),
    ];
}

function createItem() {
    return {
        key: "customer-1200/018f9c1e-7b5a-7c31-9d5e-0a1b2c3d4e5f",
        bodyHash: "47DEQpj8HBSa-_TImW-5JCeuQeRkm5NMpJWZG3hSuFU",
        claimant: verdict.claimant,
        nodeId: "entry-120",
    };
}

async function repeat(count: number, run: () => Promise<unknown>): Promise<void> {
    for (let index = 0; index < count; index++) {
        await run();
    }
}
