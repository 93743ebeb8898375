import type { Configuration } from "../../../version/configuration.ts";
import type { LinkTable } from "../linkTable.ts";
import type { ModelHolders } from "../modelHolders.ts";
import type { StepTimeEstimator } from "../stepTimeEstimator.ts";
import { computeFlowBound } from "./computeFlowBound.ts";
import type { FlowEndpoint, FlowModel } from "./flowBoundOptions.ts";

/** Options for computing the throughput bound of the running fleet. */
interface FleetFlowBoundOptions {
    configuration: Configuration;
    links: LinkTable;
    estimator: StepTimeEstimator;
    /** Data centre of each node, with one entry per node. */
    nodeDataCentres: readonly string[];
    getModelHolders(model: string): ModelHolders | undefined;
}

const noEndpoints: ReadonlySet<string> = new Set();
const millisecondsPerSecond = 1_000;

/**
 * Computes an upper bound on the positions per second that the serving endpoints and the links can carry, from the
 * learned step times. An endpoint's rate is that of steps with its maximum number of sequences. Models that the usable
 * endpoints do not fully cover are left out.
 * @param options - The fleet's configuration, links, step times and nodes.
 */
export function computeFleetFlowBound(options: FleetFlowBoundOptions): number {
    const { configuration, links, estimator } = options;
    const models: FlowModel[] = [];
    const endpoints = new Map<string, FlowEndpoint>();
    for (const [name, { hiddenBytes }] of Object.entries(configuration.models)) {
        const holders = options.getModelHolders(name);
        if (holders === undefined || !isCovered(holders)) {
            continue;
        }
        models.push({ name, graph: holders.graph, hiddenBytes, demand: 1 });
        for (const [index, record] of holders.records.entries()) {
            const { decodeMilliseconds } = estimator.getEstimate(record.name);
            const rate = record.maximumSequences * millisecondsPerSecond / decodeMilliseconds;
            const isUsable = holders.isUsable(index, noEndpoints);
            endpoints.set(record.name, { dataCentre: record.dataCentre, rate: isUsable ? rate : 0 });
        }
    }
    const nodeShares = new Map<string, number>();
    for (const dataCentre of options.nodeDataCentres) {
        nodeShares.set(dataCentre, (nodeShares.get(dataCentre) ?? 0) + 1);
    }
    return models.length === 0 ? 0 : computeFlowBound({ models, endpoints, links, nodeShares }).positionsPerSecond;
}

function isCovered(holders: ModelHolders): boolean {
    return holders.graph.holderIndicesByInterval.every(indices => {
        return indices.some(index => holders.isUsable(index, noEndpoints));
    });
}
