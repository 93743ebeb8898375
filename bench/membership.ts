/**
 * Measures what membership costs a node: gossip messages at several sizes without sockets, and the price of one call
 * over a real loopback connection. Prints bytes, messages and processor time a second and a node, and their slopes.
 *
 * Run: node bench/membership.ts
 */
import { toBinary } from "@bufbuild/protobuf";
import { GossipResponseSchema } from "../src/wire/generated/foxlead/peer/v1/peer_pb.ts";
import { measureCallCost } from "./membership/measureCallCost.ts";
import { SimulatedFleet } from "./membership/simulatedFleet.ts";
import type { SimulatedNode } from "./membership/simulatedNode.ts";

const sizes = [3, 9, 30, 100, 340];
const fanOuts = [8, 3];
const interval = 500;
const roundsPerSecond = 1_000 / interval;
/** Contacts that one measurement simulates at most, and rounds that it runs at least. */
const contactLimit = 30_000;
const leastRounds = 2;
const pullIntervalSeconds = 60;
/** So many of the bench's endpoint records take about the default payload budget. */
const payloadRecords = 6;
const trials = 3;
const roundLimit = 500;

/** What one node spends in a second, averaged over the nodes. Both directions are counted. */
interface Cost {
    size: number;
    /** Bytes of the messages. */
    messageBytes: number;
    messages: number;
    /** Processor milliseconds without the calls themselves. */
    cpuMilliseconds: number;
}

function measureSteady(size: number, fanOut: number, records: number): Cost {
    const fleet = SimulatedFleet.create(size, fanOut, interval, records, size + fanOut);
    const rounds = Math.max(leastRounds, Math.min(100, Math.floor(contactLimit / size / Math.min(fanOut, size))));
    fleet.runRound();
    const bytesBefore = fleet.bytes;
    const messagesBefore = fleet.messages;
    const before = process.cpuUsage();
    for (let round = 0; round < rounds; round++) {
        fleet.runRound();
    }
    const { user, system } = process.cpuUsage(before);
    const nodeSeconds = size * rounds / roundsPerSecond;
    return {
        size,
        // Each message is sent by one node and received by another; both pay for it.
        messageBytes: 2 * (fleet.bytes - bytesBefore) / nodeSeconds,
        messages: 2 * (fleet.messages - messagesBefore) / nodeSeconds,
        cpuMilliseconds: (user + system) / 1_000 / nodeSeconds,
    };
}

/** Least-squares slope through the points. */
function getSlope(points: readonly { x: number; y: number; }[]): number {
    const meanX = points.reduce((sum, point) => sum + point.x, 0) / points.length;
    const meanY = points.reduce((sum, point) => sum + point.y, 0) / points.length;
    const covariance = points.reduce((sum, point) => sum + (point.x - meanX) * (point.y - meanY), 0);
    return covariance / points.reduce((sum, point) => sum + (point.x - meanX) ** 2, 0);
}

/** Prints the costs of one way; the calls' own bytes and processor time are added from the measured call. */
function printSteady(title: string, costs: readonly Cost[], callBytes: number, callMicroseconds: number): void {
    console.log(`\n${title}, a node and second: messages, bytes in them, bytes with HTTP/2, processor milliseconds`);
    const totals = costs.map(cost => ({
        ...cost,
        wireBytes: cost.messageBytes + cost.messages / 2 * callBytes,
        // A message's processor time at one end is a quarter of an exchange at both.
        processor: cost.cpuMilliseconds + cost.messages / 4 * callMicroseconds / 1_000,
    }));
    for (const { size, messages, messageBytes, wireBytes, processor } of totals) {
        const columns = [messages.toFixed(0), messageBytes.toFixed(0), wireBytes.toFixed(0), processor.toFixed(2)];
        console.log(`${size.toString().padStart(4)} ${columns.map(column => column.padStart(9)).join("")}`);
    }
    const large = totals.filter(({ size }) => size > 9);
    const bytesSlope = getSlope(large.map(({ size, wireBytes }) => ({ x: size, y: wireBytes })));
    const processorSlope = getSlope(large.map(({ size, processor }) => ({ x: size, y: processor })));
    console.log(`slope from 30 on: ${bytesSlope.toFixed(2)} B/s, ${(processorSlope * 1_000).toFixed(1)} us/s a member`);
}

function hasState(node: SimulatedNode, nodeId: string, states: readonly string[]): boolean {
    return states.includes(node.view.getMember(nodeId)?.state ?? "unknown");
}

function measureSpread(size: number, fanOut: number): void {
    const fleet = SimulatedFleet.create(size, fanOut, interval, 0, size * fanOut);
    const joined = fleet.add(0).view.getSelf().nodeId;
    const joinRounds = fleet.runUntil(() => fleet.nodes.every(node => hasState(node, joined, ["alive"])), roundLimit);
    const lost = fleet.nodes[0] as SimulatedNode;
    const nodeId = lost.view.getSelf().nodeId;
    lost.isUp = false;
    const others = fleet.nodes.slice(1);
    const suspected = (): boolean => others.every(node => hasState(node, nodeId, ["suspect", "dead"]));
    const suspectRounds = fleet.runUntil(suspected, roundLimit);
    const deadRounds = fleet.runUntil(() => others.every(node => hasState(node, nodeId, ["dead"])), roundLimit);
    const refutationRounds = measureRefutation(size, fanOut);
    const columns = [joinRounds, suspectRounds, suspectRounds + deadRounds, refutationRounds];
    console.log(`${size.toString().padStart(4)} ${fanOut.toString().padStart(4)} ${columns.join("  ")}`);
}

/** Measures the most rounds from a mistaken suspicion until all have the refutation. */
function measureRefutation(size: number, fanOut: number): number {
    let most = 0;
    for (let trial = 0; trial < trials; trial++) {
        const fleet = SimulatedFleet.create(size, fanOut, interval, 0, trial + 1);
        const accused = fleet.nodes[1] as SimulatedNode;
        const { nodeId, incarnation } = accused.view.getSelf();
        fleet.nodes[0]?.view.noteMiss(nodeId, 0);
        const isRefuted = (): boolean =>
            fleet.nodes.every(node => (node.view.getMember(nodeId)?.incarnation ?? 0) > incarnation);
        most = Math.max(most, fleet.runUntil(isRefuted, roundLimit));
    }
    return most;
}

function printPulls(): void {
    for (const size of sizes) {
        const node = SimulatedFleet.create(size, 1, interval, 0, 1).nodes[0] as SimulatedNode;
        const response = toBinary(GossipResponseSchema, node.exchange.answer(node.exchange.createPull(), 0));
        const rate = 2 * response.length / pullIntervalSeconds;
        console.log(
            `${size} members: a whole view is ${response.length} B, a pull a minute ${rate.toFixed(0)} B/s a node`,
        );
    }
}

const call = await measureCallCost();
console.log(
    `One heartbeat over HTTP/2, request and answer: ${call.messageBytes} B of messages, ${
        call.warmBytes.toFixed(0)
    } B on `
        + `an open connection, ${call.coldBytes} B with its opening (TCP and IP headers not counted);\n`
        + `processor time of both ends ${call.warmCpuMicroseconds.toFixed(0)} us, with the opening `
        + `${call.coldCpuMicroseconds.toFixed(0)} us; memory of a connection, both ends, `
        + `${(call.connectionBytes / 1_024).toFixed(0)} KiB.`,
);
const overhead = call.warmBytes - call.messageBytes;
const print = (title: string, costs: readonly Cost[]): void =>
    printSteady(title, costs, overhead, call.warmCpuMicroseconds);
console.log(`Interval ${interval} ms.`);
print("Full mesh", sizes.map(size => measureSteady(size, size, 0)));
for (const fanOut of fanOuts) {
    print(`Fan-out ${fanOut}`, sizes.map(size => measureSteady(size, fanOut, 0)));
    const title = `Fan-out ${fanOut}, ${payloadRecords} endpoint records a message`;
    print(title, sizes.map(size => measureSteady(size, fanOut, payloadRecords)));
}
console.log("");
printPulls();
console.log(
    "\nmembers, fan-out, rounds until all: know a new member, suspect a lost one, hold it as dead, have a refutation",
);
for (const fanOut of fanOuts) {
    for (const size of sizes) {
        measureSpread(size, fanOut);
    }
}
