import type { Configuration } from "../../../version/configuration.ts";
import type { LinkTable } from "../linkTable.ts";
import type { ModelHolders } from "../modelHolders.ts";
import type { StepTimeEstimator } from "../stepTimeEstimator.ts";
import { computeFlowBound } from "./computeFlowBound.ts";
import type { FlowEndpoint, FlowModel } from "./flowBoundOptions.ts";

/** What the bound of the running fleet is computed from. */
interface LearntBoundOptions {
    configuration: Configuration;
    links: LinkTable;
    estimator: StepTimeEstimator;
    /** Data centres of the nodes, one entry a node. */
    nodeDataCentres: readonly string[];
    getModelHolders(model: string): ModelHolders | undefined;
}

const noEndpoints: ReadonlySet<string> = new Set();
const millisecondsPerSecond = 1_000;

/**
 * Computes the most positions a second that the serving endpoints and the links can carry, by the learnt step times: an
 * endpoint's rate is that of steps with all its sequences. Models that no chain covers now are left out.
 * @param options - The fleet.
 */
export function computeLearntBound(options: LearntBoundOptions): number {
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
    const nodes = new Map<string, number>();
    for (const dataCentre of options.nodeDataCentres) {
        nodes.set(dataCentre, (nodes.get(dataCentre) ?? 0) + 1);
    }
    return models.length === 0 ? 0 : computeFlowBound({ models, endpoints, links, nodes }).positionsPerSecond;
}

function isCovered(holders: ModelHolders): boolean {
    return holders.graph.holdersOfInterval.every(indices => {
        return indices.some(index => holders.isUsable(index, noEndpoints));
    });
}
