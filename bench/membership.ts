/**
 * Measures what membership costs a node: the gossip messages of simulated clusters of several sizes, and the cost of one
 * call over a real loopback connection. Prints the messages, bytes and processor time per node and second, and how the
 * bytes and the processor time grow with the number of members.
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
const intervalMilliseconds = 500;
const roundsPerSecond = 1_000 / intervalMilliseconds;
/** Most exchanges that one measurement simulates, unless its minimum number of rounds needs more. */
const maximumContacts = 30_000;
const minimumRounds = 2;
const pullIntervalSeconds = 60;
/** Number of endpoint records that take about the default payload budget of a gossip message. */
const payloadRecords = 6;
const trials = 3;
const maximumRounds = 500;

/** Average cost per node and second. Sent and received messages are both counted. */
interface Cost {
    size: number;
    /** Bytes of the messages, without the overhead of HTTP/2. */
    messageBytes: number;
    messages: number;
    /** Processor time in milliseconds, without that of the HTTP/2 calls. */
    cpuMilliseconds: number;
}

function measureSteady(size: number, fanOut: number, records: number): Cost {
    const fleet = SimulatedFleet.create(size, fanOut, intervalMilliseconds, records, size + fanOut);
    const rounds = Math.max(minimumRounds, Math.min(100, Math.floor(maximumContacts / size / Math.min(fanOut, size))));
    fleet.runRound();
    const bytesBefore = fleet.sentBytes;
    const messagesBefore = fleet.sentMessages;
    const before = process.cpuUsage();
    for (let round = 0; round < rounds; round++) {
        fleet.runRound();
    }
    const { user, system } = process.cpuUsage(before);
    const nodeSeconds = size * rounds / roundsPerSecond;
    return {
        size,
        // Each message is counted at its sender and at its receiver.
        messageBytes: 2 * (fleet.sentBytes - bytesBefore) / nodeSeconds,
        messages: 2 * (fleet.sentMessages - messagesBefore) / nodeSeconds,
        cpuMilliseconds: (user + system) / 1_000 / nodeSeconds,
    };
}

/** Gets the slope of the least-squares line through the points. */
function getSlope(points: readonly { x: number; y: number; }[]): number {
    const meanX = points.reduce((sum, point) => sum + point.x, 0) / points.length;
    const meanY = points.reduce((sum, point) => sum + point.y, 0) / points.length;
    const covariance = points.reduce((sum, point) => sum + (point.x - meanX) * (point.y - meanY), 0);
    return covariance / points.reduce((sum, point) => sum + (point.x - meanX) ** 2, 0);
}

/**
 * Prints the costs of one gossip variant.
 * @param title - Name of the variant.
 * @param costs - Costs of the messages.
 * @param callBytes - Overhead of one call over HTTP/2, in bytes.
 * @param callMicroseconds - Processor time of one call at both ends together.
 */
function printSteady(title: string, costs: readonly Cost[], callBytes: number, callMicroseconds: number): void {
    console.log(`\n${title}, per node and second: messages, message bytes, bytes with HTTP/2, processor milliseconds`);
    const totals = costs.map(cost => ({
        ...cost,
        wireBytes: cost.messageBytes + cost.messages / 2 * callBytes,
        // An exchange has two messages, each with a sender and a receiver, so one end of one message takes a quarter.
        processor: cost.cpuMilliseconds + cost.messages / 4 * callMicroseconds / 1_000,
    }));
    for (const { size, messages, messageBytes, wireBytes, processor } of totals) {
        const columns = [messages.toFixed(0), messageBytes.toFixed(0), wireBytes.toFixed(0), processor.toFixed(2)];
        console.log(`${size.toString().padStart(4)} ${columns.map(column => column.padStart(9)).join("")}`);
    }
    const large = totals.filter(({ size }) => size > 9);
    const bytesSlope = getSlope(large.map(({ size, wireBytes }) => ({ x: size, y: wireBytes })));
    const processorSlope = getSlope(large.map(({ size, processor }) => ({ x: size, y: processor })));
    console.log(
        `slope from 30 members up: ${bytesSlope.toFixed(2)} B/s, ${
            (processorSlope * 1_000).toFixed(1)
        } us/s per member`,
    );
}

function hasState(node: SimulatedNode, nodeId: string, states: readonly string[]): boolean {
    return states.includes(node.view.getMember(nodeId)?.state ?? "unknown");
}

/** Prints how many rounds membership changes take to reach all nodes. */
function measurePropagation(size: number, fanOut: number): void {
    const fleet = SimulatedFleet.create(size, fanOut, intervalMilliseconds, 0, size * fanOut);
    const joinedNodeId = fleet.addNode(0).view.getSelf().nodeId;
    const joinRounds = fleet.runUntil(
        () => fleet.nodes.every(node => hasState(node, joinedNodeId, ["alive"])),
        maximumRounds,
    );
    const failedNode = fleet.nodes[0] as SimulatedNode;
    const failedNodeId = failedNode.view.getSelf().nodeId;
    failedNode.isUp = false;
    const others = fleet.nodes.slice(1);
    const isSuspectedByAll = (): boolean => others.every(node => hasState(node, failedNodeId, ["suspect", "dead"]));
    const suspectRounds = fleet.runUntil(isSuspectedByAll, maximumRounds);
    const deadRounds = fleet.runUntil(
        () => others.every(node => hasState(node, failedNodeId, ["dead"])),
        maximumRounds,
    );
    const refutationRounds = measureRefutation(size, fanOut);
    const columns = [joinRounds, suspectRounds, suspectRounds + deadRounds, refutationRounds];
    console.log(`${size.toString().padStart(4)} ${fanOut.toString().padStart(4)} ${columns.join("  ")}`);
}

/** Measures the maximum number of rounds from a false suspicion until all nodes have received the refutation. */
function measureRefutation(size: number, fanOut: number): number {
    let largest = 0;
    for (let trial = 0; trial < trials; trial++) {
        const fleet = SimulatedFleet.create(size, fanOut, intervalMilliseconds, 0, trial + 1);
        const suspectedNode = fleet.nodes[1] as SimulatedNode;
        const { nodeId, incarnation } = suspectedNode.view.getSelf();
        fleet.nodes[0]?.view.noteMiss(nodeId, 0);
        const isRefuted = (): boolean =>
            fleet.nodes.every(node => (node.view.getMember(nodeId)?.incarnation ?? 0) > incarnation);
        largest = Math.max(largest, fleet.runUntil(isRefuted, maximumRounds));
    }
    return largest;
}

/** Prints the size of a full view and the cost of pulling it periodically. */
function printPulls(): void {
    for (const size of sizes) {
        const node = SimulatedFleet.create(size, 1, intervalMilliseconds, 0, 1).nodes[0] as SimulatedNode;
        const response = toBinary(GossipResponseSchema, node.exchange.handleRequest(node.exchange.createPull(), 0));
        const rate = 2 * response.length / pullIntervalSeconds;
        console.log(
            `${size} members: full view ${response.length} B, one pull per minute ${rate.toFixed(0)} B/s per node`,
        );
    }
}

const call = await measureCallCost();
console.log(
    `One heartbeat over HTTP/2, request and response: ${call.messageBytes} B of messages, ${
        call.warmBytes.toFixed(0)
    } B on `
        + `an open connection, ${call.coldBytes} B including connection setup (without TCP and IP headers);\n`
        + `processor time of both ends ${call.warmCpuMicroseconds.toFixed(0)} us, including connection setup `
        + `${call.coldCpuMicroseconds.toFixed(0)} us; memory of a connection, both ends, `
        + `${(call.connectionBytes / 1_024).toFixed(0)} KiB.`,
);
const overhead = call.warmBytes - call.messageBytes;
const printCosts = (title: string, costs: readonly Cost[]): void =>
    printSteady(title, costs, overhead, call.warmCpuMicroseconds);
console.log(`Interval ${intervalMilliseconds} ms.`);
printCosts("Full mesh", sizes.map(size => measureSteady(size, size, 0)));
for (const fanOut of fanOuts) {
    printCosts(`Fan-out ${fanOut}`, sizes.map(size => measureSteady(size, fanOut, 0)));
    const title = `Fan-out ${fanOut}, ${payloadRecords} endpoint records per message`;
    printCosts(title, sizes.map(size => measureSteady(size, fanOut, payloadRecords)));
}
console.log("");
printPulls();
console.log(
    "\nmembers, fan-out, rounds until all: know a new member, suspect a failed one, consider it dead, have a refutation",
);
for (const fanOut of fanOuts) {
    for (const size of sizes) {
        measurePropagation(size, fanOut);
    }
}
