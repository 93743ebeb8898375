import { type EndpointReport, EndpointReports } from "../../src/connection/endpoint/endpointReports.ts";
import { maximumFullRateNodes } from "../../src/process/membership/maximumFullRateNodes.ts";
import { PeerRotation } from "../../src/process/membership/peerRotation.ts";
import { createSeededRandom } from "../../tests/support/createSeededRandom.ts";
import { designSize } from "./designSize.ts";
import type { ReportPropagation } from "./reportPropagation.ts";

const roundMilliseconds = 500;
/** A small deployment, fractions of the design size and the full design size. Up to nine nodes contact all their peers. */
const sizes = [
    { nodeCount: 9, engines: 30, fanOut: 8 },
    { nodeCount: 34, engines: 120, fanOut: 3 },
    { nodeCount: 102, engines: 360, fanOut: 3 },
    { nodeCount: designSize.nodes, engines: designSize.runners, fanOut: 3 },
];
/**
 * What nodes know at the start: nothing, as all nodes start at the same time; every engine; or every engine, of which a
 * tenth becomes unreachable at the start.
 */
const initialStates = ["none known", "all known", "a tenth lost"] as const;
const cases = initialStates.flatMap(before => sizes.map(size => ({ ...size, before })));
const lostFraction = 0.1;
/** Byte budgets of the endpoint records in a gossip request and in its response. */
const requestBudgetBytes = 128;
const responseBudgetBytes = 256;
const observersPerEngine = 3;
/** Interval at which an observer repeats an unchanged state in a cluster of up to `maximumFullRateNodes` nodes. */
const baseRefreshMilliseconds = 5_000;
const warmupMilliseconds = 10_000;
const maximumMilliseconds = 16_000;
const seed = 20_260_729;

/** A simulated node. */
interface ReportNode {
    /** Records that the node has received and forwards to its peers. */
    reports: EndpointReports;
    rotation: PeerRotation;
    /** Time at which the node's latest record of each engine was observed. */
    observedAt: Map<string, number>;
    /** If the node knows that engine 0 is leaving. */
    knowsLeaving: boolean;
}

/**
 * Simulates the gossip of endpoint records with the byte budgets of the messages and with calls that take no time.
 * Measures how old the records of the nodes are, and how long it takes until all nodes know that an engine is leaving.
 * The queues of the engines are idle, so that observers only send periodic refreshes and these changes of state.
 */
export function measureReportPropagation(): ReportPropagation[] {
    return cases.map(measurePropagation);
}

function measurePropagation({ nodeCount, engines, fanOut, before }: typeof cases[number]): ReportPropagation {
    const random = createSeededRandom(seed);
    const refreshMilliseconds = baseRefreshMilliseconds * Math.max(1, nodeCount / maximumFullRateNodes);
    const nodes: ReportNode[] = Array.from({ length: nodeCount }, () => ({
        reports: EndpointReports.create(() => nodeCount),
        rotation: PeerRotation.create(random),
        observedAt: new Map(),
        knowsLeaving: false,
    }));
    const lastReportedAt = Array.from(
        { length: engines * observersPerEngine },
        () => before === "none known" ? -refreshMilliseconds : random() * refreshMilliseconds - refreshMilliseconds,
    );
    if (before !== "none known") {
        addKnownReports(nodes, engines);
    }
    const firstLostEngine = before === "a tenth lost" ? Math.round(engines * (1 - lostFraction)) : engines;
    lastReportedAt.fill(-refreshMilliseconds, firstLostEngine * observersPerEngine);
    const names = nodes.map((_, index) => String(index));
    const knownAt: number[] = [];
    let now = 0;
    for (; now < warmupMilliseconds + maximumMilliseconds && knownAt.length < nodeCount; now += roundMilliseconds) {
        if (now === warmupMilliseconds) {
            lastReportedAt.fill(now - refreshMilliseconds, 0, observersPerEngine);
        }
        for (const [index, reportedAt] of lastReportedAt.entries()) {
            const engine = Math.floor(index / observersPerEngine);
            if (now - reportedAt >= refreshMilliseconds) {
                lastReportedAt[index] = now;
                const servingState = engine === 0 && now >= warmupMilliseconds ? "leaving" : "serving";
                const state = engine >= firstLostEngine ? "unreachable" : servingState;
                applyReport(nodes[(index * 7) % nodeCount]!, createReport(engine, index, now, state));
            }
        }
        runRound(nodes, names, fanOut);
        while (now >= warmupMilliseconds && knownAt.length < nodes.filter(node => node.knowsLeaving).length) {
            knownAt.push(now + roundMilliseconds - warmupMilliseconds);
        }
    }
    const ages = nodes.flatMap(node => [...node.observedAt.values()].map(observedAt => now - observedAt));
    return {
        nodes: nodeCount,
        engines,
        before,
        known: ages.length / nodeCount / engines,
        meanAgeSeconds: ages.reduce((sum, age) => sum + age, 0) / ages.length / 1_000,
        leavingKnownSeconds: [0.5, 0.95, 1].map(fraction => knownAt[Math.ceil(fraction * nodeCount) - 1])
            .map(milliseconds => milliseconds === undefined ? undefined : milliseconds / 1_000),
    };
}

/**
 * Adds a record of every engine to every node and uses up its transmissions. The records are older than the run and are
 * left out of the mean age.
 */
function addKnownReports(nodes: readonly ReportNode[], engines: number): void {
    for (const { reports } of nodes) {
        for (let engine = 0; engine < engines; engine++) {
            reports.add({ ...createReport(engine, 0, 0, "serving"), sequence: -1n });
        }
        while (reports.collect(Infinity).length > 0) {
            // Each collection uses up one transmission of each record.
        }
    }
}

function runRound(nodes: readonly ReportNode[], names: readonly string[], fanOut: number): void {
    for (const [index, node] of nodes.entries()) {
        const peers = names.filter(name => name !== String(index));
        for (const name of node.rotation.select(peers, fanOut)) {
            const peer = nodes[Number(name)]!;
            for (const report of node.reports.collect(requestBudgetBytes)) {
                applyReport(peer, report);
            }
            for (const report of peer.reports.collect(responseBudgetBytes)) {
                applyReport(node, report);
            }
        }
    }
}

function applyReport(node: ReportNode, report: EndpointReport): void {
    if (node.reports.add(report)) {
        node.observedAt.set(report.endpoint, Math.floor(Number(report.sequence) / 1_000));
        node.knowsLeaving ||= report.state === "leaving";
    }
}

/** Creates a record. Its sequence is the observation time in microseconds plus an offset that differs by observer. */
function createReport(engine: number, observer: number, now: number, state: string): EndpointReport {
    return {
        endpoint: `runner-${engine}`,
        observer: `entry-${observer}`,
        sequence: BigInt(now * 1_000 + observer % 1_000),
        state,
        layers: [{ model: "model-1", start: 0, end: 8 }],
    };
}
