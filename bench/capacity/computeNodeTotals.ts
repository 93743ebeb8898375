import { unstretchedNodes } from "../../src/process/membership/unstretchedNodes.ts";
import { budgets } from "./budgets.ts";
import type { IdleNode } from "./idleNode.ts";
import { letterSize } from "./letterSize.ts";
import type { SlopeTable } from "./slopeTable.ts";
import type { Total } from "./total.ts";

const { nodes, runners, models, customers, configurationChangesPerDay } = letterSize;
const vms = nodes + runners;
const secondsPerDay = 86_400;
/** The numbers of the program: src/process/membershipService.ts, foxleadNode.ts, endpointService.ts and membership. */
const vmListPerSecond = 1;
/** Stretched with the nodes; src/process/membership/getStretch.ts. */
const backstopSeconds = 10 * nodes / unstretchedNodes;
const observeRoundsPerSecond = 2;
const observersOfEndpoint = 3;
const gossipRequestsPerSecond = 6;
/** Demand records of a request above nine nodes, and what one takes; src/process/foxleadNode.ts. */
const demandRecords = 4;
const demandRecordBytes = 30;
/** One report of the demand serves all requests of a round; src/request/admission/customerLimits.ts. */
const demandReportsPerSecond = 2;
/**
 * The letter names 233 failures and restarts of VMs a day; a node's share of them, each seen as leaving and coming, clears
 * the kept duty to observe. So does a change of the configuration.
 */
const memberChangesPerDay = 2 * 233 * nodes / (nodes + runners);
/** Records that one node hears in a second at most: two in an answer to it, one in a request of a peer. */
const recordsHeardPerSecond = gossipRequestsPerSecond * 3;
/** src/request/gateCapacities.ts and src/process/nodeFigures.ts. */
const capacityRefreshesPerSecond = 2;
const boundSeconds = 30;
/** A choice: a scraper asks for the metrics this often. */
const scrapeSeconds = 15;

/** What one part of control costs a node. */
interface ControlPart {
    role: string;
    /** Processor milliseconds a second. */
    processor: number;
    /** Bytes a second in both directions. */
    bytes: number;
}

/**
 * Works out what control costs a node that owns no claim shard and holds no orders.
 * @param slopes - Slopes of a whole run.
 * @param idleNode - A node without a configuration.
 */
export function computeNodeTotals(slopes: SlopeTable, idleNode: IdleNode | undefined): Total[] {
    const parts = [
        { role: "process at rest", processor: idleNode?.processorMillisecondsPerSecond ?? Number.NaN, bytes: 0 },
        ...createPlatformParts(slopes),
        ...createPeerParts(slopes),
        ...createEndpointParts(slopes),
    ];
    const totals = parts.flatMap(({ role, processor, bytes }) => [
        { role, quantity: "processor", value: processor, unit: "ms/s" },
        { role, quantity: "bytes", value: bytes / 1_000, unit: "KB/s" },
    ]);
    const processor = parts.reduce((sum, part) => sum + part.processor, 0);
    const kilobytes = parts.reduce((sum, part) => sum + part.bytes, 0) / 1_000;
    const role = "node, all control";
    return [
        ...totals,
        { role, quantity: "processor", value: processor, unit: "ms/s", budget: budgets.controlMilliseconds },
        { role, quantity: "bytes", value: kilobytes, unit: "KB/s", budget: budgets.controlKilobytes },
    ];
}

function createPlatformParts(slopes: SlopeTable): ControlPart[] {
    const kibibytes = getTextBytes(slopes) / 1_024;
    return [
        {
            role: "VM list reader",
            processor: vmListPerSecond * slopes.getValue("vmList.read", vms),
            bytes: vmListPerSecond * slopes.getValue("vmList.bytes", vms),
        },
        {
            role: "store watcher, backstop",
            processor: slopes.getValue("configuration.read", kibibytes) / backstopSeconds,
            bytes: slopes.getValue("configuration.readBytes", kibibytes) * 1_024 / backstopSeconds,
        },
    ];
}

function createPeerParts(slopes: SlopeTable): ControlPart[] {
    const text = getTextBytes(slopes);
    const changesPerSecond = configurationChangesPerDay / secondsPerDay;
    const parse = slopes.getValue("configuration.customer.parse", customers)
        + slopes.getValue("configuration.runner.parse", runners);
    return [
        {
            role: "peer member",
            processor: slopes.getValue("peers.processor", nodes),
            bytes: slopes.getValue("peers.bytes", nodes),
        },
        {
            role: "configuration, changes",
            // Each text is fetched once and, in the mean, given to one other node.
            processor: changesPerSecond * (parse + 2 * slopes.getValue("peers.text", text / 1_024)),
            bytes: changesPerSecond * 2 * text,
        },
        {
            role: "customer limits",
            processor: demandReportsPerSecond * slopes.getValue("customers.demand", customers) / 1_000,
            // Requests of this node and to it.
            bytes: 2 * gossipRequestsPerSecond * demandRecords * demandRecordBytes,
        },
    ];
}

function createEndpointParts(slopes: SlopeTable): ControlPart[] {
    const calls = runners * observersOfEndpoint / nodes * observeRoundsPerSecond;
    const dutyChangesPerSecond = (memberChangesPerDay + configurationChangesPerDay) / secondsPerDay;
    const messages = 2 * gossipRequestsPerSecond;
    return [
        {
            role: "endpoint observer, who observes",
            processor: observeRoundsPerSecond * slopes.getValue("observer.round", nodes)
                + dutyChangesPerSecond * slopes.getValue("observer.duty", nodes),
            bytes: 0,
        },
        {
            role: "endpoint observer, status calls",
            processor: calls * slopes.getSlope("observer.call") / 1_000,
            bytes: calls * slopes.getSlope("observer.callBytes"),
        },
        {
            role: "endpoint observer, records",
            processor: (recordsHeardPerSecond * slopes.getSlope("observer.record")
                + messages * slopes.getValue("observer.collect", runners)) / 1_000,
            bytes: 0,
        },
        {
            role: "capacities of all gates",
            processor: models * capacityRefreshesPerSecond * slopes.getValue("customers.places", runners) / 1_000,
            bytes: 0,
        },
        {
            role: "bound of the fleet",
            processor: slopes.getValue("chains.bound", runners) / boundSeconds,
            bytes: 0,
        },
        {
            role: "metrics",
            processor: slopes.getValue("metrics.processor", runners) / scrapeSeconds,
            bytes: slopes.getValue("metrics.bytes", runners) / scrapeSeconds,
        },
    ];
}

function getTextBytes(slopes: SlopeTable): number {
    return slopes.getValue("configuration.customer.bytes", customers)
        + runners * slopes.getSlope("configuration.runner.bytes");
}
