import { maximumFullRateNodes } from "../../src/process/membership/maximumFullRateNodes.ts";
import { budgets } from "./budgets.ts";
import { designSize } from "./designSize.ts";
import type { IdleNode } from "./idleNode.ts";
import type { SlopeTable } from "./slopeTable.ts";
import type { Total } from "./total.ts";

const { nodes, runners, models, customers, configurationChangesPerDay } = designSize;
const vms = nodes + runners;
const secondsPerDay = 86_400;
// These constants repeat values of membershipService.ts, foxleadNode.ts, endpointService.ts and the membership folder in
// src/process.
const vmListReadsPerSecond = 1;
/** Interval of the periodic reads of the configuration, which grows with the number of nodes as in `getIntervalFactor`. */
const checkIntervalSeconds = 10 * nodes / maximumFullRateNodes;
const observeRoundsPerSecond = 2;
const observersPerEndpoint = 3;
const gossipRequestsPerSecond = 6;
/** Demand records per gossip request in a cluster of more than nine nodes; see src/process/foxleadNode.ts. */
const demandRecordsPerRequest = 4;
const demandRecordBytes = 30;
/** Each gossip round computes the demand once for all its requests; see src/request/admission/customerLimits.ts. */
const demandReportsPerSecond = 2;
/**
 * Changes of the members per day. The design size has 233 failures and restarts of VMs per day; those of nodes change the
 * members twice, as the node leaves and as it returns. Each change clears the cached assignment of the observers, and so
 * does a change of the configuration.
 */
const memberChangesPerDay = 2 * 233 * nodes / (nodes + runners);
/** Most endpoint records that a node receives per second: two in each response, one in each request of a peer. */
const receivedRecordsPerSecond = gossipRequestsPerSecond * 3;
/** See src/request/gateCapacities.ts. */
const capacityRefreshesPerSecond = 2;
/** Interval at which `NodeStatistics` computes the fleet's throughput bound. */
const boundIntervalSeconds = 30;
/** Interval at which the metrics are scraped. */
const scrapeIntervalSeconds = 15;

/** The cost of one part of a node's control work. */
interface ControlPart {
    role: string;
    /** Processor time in milliseconds per second. */
    processor: number;
    /** Bytes per second in both directions. */
    bytes: number;
}

/**
 * Computes the cost of control work on a node that owns no claim shard and doesn't hold the order lease.
 * @param slopes - Slopes of a complete run.
 * @param idleNode - Measurements of an idle node without a configuration.
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
        { role, quantity: "processor", value: processor, unit: "ms/s", budget: budgets.controlMillisecondsPerSecond },
        { role, quantity: "bytes", value: kilobytes, unit: "KB/s", budget: budgets.controlKilobytesPerSecond },
    ];
}

function createPlatformParts(slopes: SlopeTable): ControlPart[] {
    const kibibytes = getTextBytes(slopes) / 1_024;
    return [
        {
            role: "VM list reader",
            processor: vmListReadsPerSecond * slopes.getValue("vmList.read", vms),
            bytes: vmListReadsPerSecond * slopes.getValue("vmList.bytes", vms),
        },
        {
            role: "store watcher, backstop",
            processor: slopes.getValue("configuration.read", kibibytes) / checkIntervalSeconds,
            bytes: slopes.getValue("configuration.readBytes", kibibytes) * 1_024 / checkIntervalSeconds,
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
            // A node fetches each text once and sends it to one other node on average.
            processor: changesPerSecond * (parse + 2 * slopes.getValue("peers.text", text / 1_024)),
            bytes: changesPerSecond * 2 * text,
        },
        {
            role: "customer limits",
            processor: demandReportsPerSecond * slopes.getValue("customers.demand", customers) / 1_000,
            // Counts the requests that the node sends and those that it receives.
            bytes: 2 * gossipRequestsPerSecond * demandRecordsPerRequest * demandRecordBytes,
        },
    ];
}

function createEndpointParts(slopes: SlopeTable): ControlPart[] {
    const calls = runners * observersPerEndpoint / nodes * observeRoundsPerSecond;
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
            processor: (receivedRecordsPerSecond * slopes.getSlope("observer.record")
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
            processor: slopes.getValue("chains.bound", runners) / boundIntervalSeconds,
            bytes: 0,
        },
        {
            role: "metrics",
            processor: slopes.getValue("metrics.processor", runners) / scrapeIntervalSeconds,
            bytes: slopes.getValue("metrics.bytes", runners) / scrapeIntervalSeconds,
        },
    ];
}

function getTextBytes(slopes: SlopeTable): number {
    return slopes.getValue("configuration.customer.bytes", customers)
        + runners * slopes.getSlope("configuration.runner.bytes");
}
