import type { EndpointState } from "../../connection/endpoint/endpointState.ts";
import type { RandomSource } from "../../process/randomSource.ts";
import { areLayerRangesEqual } from "./areLayerRangesEqual.ts";
import type { ChooseChainOptions } from "./chainChooser.ts";
import { ChainSearch } from "./chainSearch.ts";
import type { EndpointRecord } from "./endpointRecord.ts";
import type { HolderCosts } from "./holderCosts.ts";
import type { LayeredGraph } from "./layeredGraph.ts";
import type { LayerHolder } from "./layerHolder.ts";
import type { Link } from "./link.ts";
import type { LinkTable } from "./linkTable.ts";
import type { PrefixIndex } from "./prefixIndex.ts";
import type { StepTimeEstimator } from "./stepTimeEstimator.ts";

/** Expected number of generated tokens. Weighs the time between tokens against the time to the first token. */
const expectedOutputTokens = 64;
/**
 * Fraction of the endpoint's full step that a stage costs regardless of its number of layers. One step serves passes
 * over different parts of the endpoint's range, so a pass over a part takes capacity from passes over the full range.
 * See docs/design/chains.md.
 */
const fullStepFraction = 0.9;
/** Factor on the cost of a preferred endpoint. */
const preferredCostFactor = 0.8;
/** Factor on the prompt's positions for an endpoint that caches the prompt's prefix. */
const cachedPrefixCostFactor = 0.5;
/** Penalty per pass for each recent failure. */
const failurePenaltyMilliseconds = 200;
/** Penalty per pass if the endpoint has no free sequence or too little free memory. */
const fullPenaltyMilliseconds = 200;

/** Options for creating a {@link ModelHolders}. */
export interface ModelHoldersOptions {
    model: string;
    graph: LayeredGraph;
    /** Records of the holders' endpoints, by holder index. */
    records: readonly EndpointRecord[];
    /** Size of the activations of one position, in bytes. */
    hiddenBytes: number;
    links: LinkTable;
    estimator: StepTimeEstimator;
    prefixes: PrefixIndex;
    random: RandomSource;
    getEndpointState: (endpoint: string) => EndpointState | undefined;
}

/** The endpoints that hold layers of one model, with their estimated costs. */
export class ModelHolders {
    readonly model: string;
    readonly graph: LayeredGraph;
    readonly records: readonly EndpointRecord[];
    readonly search: ChainSearch;
    readonly costs: HolderCosts;
    private readonly options: ModelHoldersOptions;
    /** Data centre of the node, for which {@link ModelHolders.linksByHolder} was computed. */
    private dataCentre: string | undefined;
    /** Links between the node and the holders, by holder index. */
    private linksByHolder: readonly Link[] = [];

    private constructor(options: ModelHoldersOptions) {
        this.options = options;
        this.model = options.model;
        this.graph = options.graph;
        this.records = options.records;
        this.search = ChainSearch.create(options.graph);
        const count = options.records.length;
        this.costs = {
            stageMilliseconds: new Float64Array(count),
            transferMilliseconds: new Float64Array(count),
            layerMilliseconds: new Float64Array(count),
        };
    }

    /** Creates the holders of a model. */
    static create(options: ModelHoldersOptions): ModelHolders {
        return new ModelHolders(options);
    }

    /** Checks if a holder's endpoint is serving, is not excluded, and still holds the layers in the graph. */
    isUsable(index: number, excluded: ReadonlySet<string>): boolean {
        const { layers, name } = this.records[index] as EndpointRecord;
        const state = this.options.getEndpointState(name);
        return state?.state === "serving" && areLayerRangesEqual(state.layers, layers) && !excluded.has(name);
    }

    /**
     * Updates the estimated costs of the given holders.
     * @param candidates - Indices of the holders.
     * @param options - Options of the choice.
     * @param now - Monotonic time, in milliseconds.
     */
    estimateCosts(candidates: readonly number[], options: ChooseChainOptions, now: number): void {
        if (options.dataCentre !== this.dataCentre) {
            this.dataCentre = options.dataCentre;
            this.linksByHolder = this.records.map(record =>
                this.options.links.getLink(options.dataCentre, record.dataCentre)
            );
        }
        const cached = options.prefixHash === undefined
            ? undefined
            : this.options.prefixes.getEndpoints(options.prefixHash);
        for (const index of candidates) {
            const { name } = this.records[index] as EndpointRecord;
            const positions = options.positions * (cached?.has(name) ? cachedPrefixCostFactor : 1);
            this.estimateCost(index, options, positions, now);
        }
    }

    private estimateCost(index: number, options: ChooseChainOptions, positions: number, now: number): void {
        const record = this.records[index] as EndpointRecord;
        const { layers } = this.graph.holders[index] as LayerHolder;
        const step = this.options.estimator.getEstimate(record.name);
        const link = this.linksByHolder[index] as Link;
        const costFactor = options.preferred.has(record.name) ? preferredCostFactor : 1;
        const decodeMilliseconds = step.decodeMilliseconds * (1 + step.uncertainty * (2 * this.options.random() - 1));
        const passMilliseconds = step.waitMilliseconds * record.load.getQueueLength()
            + 2 * link.latencyMilliseconds
            + getPenaltyMilliseconds(record, positions, now);
        this.costs.stageMilliseconds[index] = costFactor
            * ((expectedOutputTokens + 1) * passMilliseconds
                + expectedOutputTokens * fullStepFraction * decodeMilliseconds * layers);
        this.costs.transferMilliseconds[index] = costFactor
            * (options.positions + expectedOutputTokens) * this.options.hiddenBytes / link.bytesPerMillisecond;
        this.costs.layerMilliseconds[index] = costFactor
            * (expectedOutputTokens * (1 - fullStepFraction) * decodeMilliseconds
                + positions * step.prefillMilliseconds);
    }
}

/** Gets the penalty per pass for an endpoint that failed recently or is full. */
function getPenaltyMilliseconds({ load, maximumSequences }: EndpointRecord, positions: number, now: number): number {
    const isFull = load.getSequenceCount() >= maximumSequences || load.getFreePositions() < positions;
    return load.getFailures(now) * failurePenaltyMilliseconds + (isFull ? fullPenaltyMilliseconds : 0);
}
