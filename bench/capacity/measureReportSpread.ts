import { type EndpointReport, EndpointReports } from "../../src/connection/endpoint/endpointReports.ts";
import { PeerRotation } from "../../src/process/membership/peerRotation.ts";
import { unstretchedNodes } from "../../src/process/membership/unstretchedNodes.ts";
import { createSeededRandom } from "../../tests/support/createSeededRandom.ts";
import { letterSize } from "./letterSize.ts";
import type { ReportSpread } from "./reportSpread.ts";

const roundMilliseconds = 500;
/** Sizes: today's, and parts of the letter's. Up to nine nodes contact all others in a round. */
const sizes = [
    { nodeCount: 9, engines: 30, fanOut: 8 },
    { nodeCount: 34, engines: 120, fanOut: 3 },
    { nodeCount: 102, engines: 360, fanOut: 3 },
    { nodeCount: letterSize.nodes, engines: letterSize.runners, fanOut: 3 },
];
/** All nodes start at once; or all have long known every engine; or so, and a tenth of the engines is lost at the start. */
const states = ["none known", "all known", "a tenth lost"] as const;
const cases = states.flatMap(before => sizes.map(size => ({ ...size, before })));
const lostPart = 0.1;
const requestBytes = 128;
const responseBytes = 256;
const observers = 3;
/** An observer tells an engine's state this often where nothing changes, times the stretch. */
const unstretchedRefreshMilliseconds = 5_000;
const warmupMilliseconds = 10_000;
const limitMilliseconds = 16_000;
const seed = 20_260_729;

/** One node: the records that it passes on, and when what it knows of each engine was seen. */
interface SpreadNode {
    reports: EndpointReports;
    rotation: PeerRotation;
    seenAt: Map<string, number>;
    knowsLeaving: boolean;
}

/**
 * Runs the queue of endpoint records of every node against the budgets of the gossip messages, with calls that take no
 * time: how old is what a node knows, and how long until all have heard that an engine leaves. Engines have idle
 * queues, so the observers tell nothing but their refreshes.
 */
export function measureReportSpread(): ReportSpread[] {
    return cases.map(measureSpread);
}

function measureSpread({ nodeCount, engines, fanOut, before }: typeof cases[number]): ReportSpread {
    const random = createSeededRandom(seed);
    const refreshMilliseconds = unstretchedRefreshMilliseconds * Math.max(1, nodeCount / unstretchedNodes);
    const nodes: SpreadNode[] = Array.from({ length: nodeCount }, () => ({
        reports: EndpointReports.create(() => nodeCount),
        rotation: PeerRotation.create(random),
        seenAt: new Map(),
        knowsLeaving: false,
    }));
    const told = Array.from(
        { length: engines * observers },
        () => before === "none known" ? -refreshMilliseconds : random() * refreshMilliseconds - refreshMilliseconds,
    );
    if (before !== "none known") {
        makeKnown(nodes, engines);
    }
    const firstLost = before === "a tenth lost" ? Math.round(engines * (1 - lostPart)) : engines;
    told.fill(-refreshMilliseconds, firstLost * observers);
    const names = nodes.map((_, index) => String(index));
    const heardAt: number[] = [];
    let now = 0;
    for (; now < warmupMilliseconds + limitMilliseconds && heardAt.length < nodeCount; now += roundMilliseconds) {
        if (now === warmupMilliseconds) {
            told.fill(now - refreshMilliseconds, 0, observers);
        }
        for (const [index, lastTold] of told.entries()) {
            const engine = Math.floor(index / observers);
            if (now - lastTold >= refreshMilliseconds) {
                told[index] = now;
                const servingState = engine === 0 && now >= warmupMilliseconds ? "leaving" : "serving";
                const state = engine >= firstLost ? "unreachable" : servingState;
                take(nodes[(index * 7) % nodeCount]!, createReport(engine, index, now, state));
            }
        }
        runRound(nodes, names, fanOut);
        while (now >= warmupMilliseconds && heardAt.length < nodes.filter(node => node.knowsLeaving).length) {
            heardAt.push(now + roundMilliseconds - warmupMilliseconds);
        }
    }
    const ages = nodes.flatMap(node => [...node.seenAt.values()].map(seenAt => now - seenAt));
    return {
        nodes: nodeCount,
        engines,
        before,
        known: ages.length / nodeCount / engines,
        meanAgeSeconds: ages.reduce((sum, age) => sum + age, 0) / ages.length / 1_000,
        leavingKnownSeconds: [0.5, 0.95, 1].map(part => heardAt[Math.ceil(part * nodeCount) - 1])
            .map(heard => heard === undefined ? undefined : heard / 1_000),
    };
}

/** Gives every node a record of every engine that no longer travels; its time is before the run and counts for no age. */
function makeKnown(nodes: readonly SpreadNode[], engines: number): void {
    for (const { reports } of nodes) {
        for (let engine = 0; engine < engines; engine++) {
            reports.add({ ...createReport(engine, 0, 0, "serving"), sequence: -1n });
        }
        while (reports.collect(Infinity).length > 0) {
            // Each collection takes one of the transmissions.
        }
    }
}

function runRound(nodes: readonly SpreadNode[], names: readonly string[], fanOut: number): void {
    for (const [index, node] of nodes.entries()) {
        const peers = names.filter(name => name !== String(index));
        for (const name of node.rotation.take(peers, fanOut)) {
            const peer = nodes[Number(name)]!;
            for (const report of node.reports.collect(requestBytes)) {
                take(peer, report);
            }
            for (const report of peer.reports.collect(responseBytes)) {
                take(node, report);
            }
        }
    }
}

function take(node: SpreadNode, report: EndpointReport): void {
    if (node.reports.add(report)) {
        node.seenAt.set(report.endpoint, Math.floor(Number(report.sequence) / 1_000));
        node.knowsLeaving ||= report.state === "leaving";
    }
}

/** The sequence is the time of the observation in microseconds, so that those of several observers differ. */
function createReport(engine: number, observer: number, now: number, state: string): EndpointReport {
    return {
        endpoint: `runner-${engine}`,
        observer: `entry-${observer}`,
        sequence: BigInt(now * 1_000 + observer % 1_000),
        state,
        layers: [{ model: "model-1", start: 0, end: 8 }],
    };
}
