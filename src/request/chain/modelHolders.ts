import type { EndpointState } from "../../connection/endpoint/endpointState.ts";
import type { RandomSource } from "../../process/randomSource.ts";
import { areEqualRanges } from "./areEqualRanges.ts";
import type { ChainOptions } from "./chainChooser.ts";
import { ChainSearch } from "./chainSearch.ts";
import type { EndpointRecord } from "./endpointRecord.ts";
import type { HolderCosts } from "./holderCosts.ts";
import type { LayeredGraph } from "./layeredGraph.ts";
import type { LayerHolder } from "./layerHolder.ts";
import type { Link } from "./link.ts";
import type { LinkTable } from "./linkTable.ts";
import type { PrefixIndex } from "./prefixIndex.ts";
import type { StepTimeEstimator } from "./stepTimeEstimator.ts";

/** Tokens that a request is expected to generate; weighs the time between tokens against that to the first one. */
const expectedTokens = 64;
/**
 * Part of a whole step that a stage is charged whatever its layers: one step serves passes over different parts of an
 * endpoint's range, so that a pass over a part takes room from whole ones. Measured in docs/design/chains.md.
 */
const wholeStepPart = 0.9;
/** Part of the estimated time that a preferred endpoint is charged. */
const preferredPart = 0.8;
/** Part of the prompt's time that an endpoint is charged that holds its prefix. */
const cachedPart = 0.5;
/** Charge for each pass for one recent failure, in milliseconds. */
const failureMilliseconds = 200;
/** Charge for each pass where the endpoint's memory or sequences are used up, in milliseconds. */
const fullMilliseconds = 200;

/** What a model's holders are built from. */
export interface ModelHoldersOptions {
    model: string;
    graph: LayeredGraph;
    /** Record of each holder's endpoint, by holder index. */
    records: readonly EndpointRecord[];
    /** Bytes of one position's activations. */
    hiddenBytes: number;
    links: LinkTable;
    estimator: StepTimeEstimator;
    prefixes: PrefixIndex;
    random: RandomSource;
    getEndpointState: (endpoint: string) => EndpointState | undefined;
}

/** The holders of one model's layers with their estimated costs. */
export class ModelHolders {
    readonly model: string;
    readonly graph: LayeredGraph;
    readonly records: readonly EndpointRecord[];
    readonly search: ChainSearch;
    readonly costs: HolderCosts;
    private readonly options: ModelHoldersOptions;
    /** Data centre that {@link ModelHolders.linkOf} was computed for: that of the node. */
    private dataCentre: string | undefined;
    /** Link between the node and each holder. */
    private linkOf: readonly Link[] = [];

    private constructor(options: ModelHoldersOptions) {
        this.options = options;
        this.model = options.model;
        this.graph = options.graph;
        this.records = options.records;
        this.search = ChainSearch.create(options.graph);
        const count = options.records.length;
        this.costs = {
            stage: new Float64Array(count),
            transfer: new Float64Array(count),
            layer: new Float64Array(count),
        };
    }

    /** Creates the holders of a graph. */
    static create(options: ModelHoldersOptions): ModelHolders {
        return new ModelHolders(options);
    }

    /** Tells whether a holder's endpoint serves, still holds the layers of the graph, and is not excluded. */
    isUsable(index: number, excluded: ReadonlySet<string>): boolean {
        const { layers, name } = this.records[index] as EndpointRecord;
        const state = this.options.getEndpointState(name);
        return state?.state === "serving" && areEqualRanges(state.layers, layers) && !excluded.has(name);
    }

    /**
     * Estimates the costs of some holders.
     * @param candidates - Indices of the holders.
     * @param options - What the chain is for.
     * @param now - Monotonic time in milliseconds.
     */
    estimateCosts(candidates: readonly number[], options: ChainOptions, now: number): void {
        if (options.dataCentre !== this.dataCentre) {
            this.dataCentre = options.dataCentre;
            this.linkOf = this.records.map(record => this.options.links.getLink(options.dataCentre, record.dataCentre));
        }
        const cached = options.prefixHash === undefined
            ? undefined
            : this.options.prefixes.getEndpoints(options.prefixHash);
        for (const index of candidates) {
            const { name } = this.records[index] as EndpointRecord;
            const positions = options.positions * (cached?.has(name) ? cachedPart : 1);
            this.estimateCost(index, options, positions, now);
        }
    }

    private estimateCost(index: number, options: ChainOptions, positions: number, now: number): void {
        const record = this.records[index] as EndpointRecord;
        const { layers } = this.graph.holders[index] as LayerHolder;
        const step = this.options.estimator.getEstimate(record.name);
        const link = this.linkOf[index] as Link;
        const part = options.preferred.has(record.name) ? preferredPart : 1;
        const decode = step.decodeMilliseconds * (1 + step.uncertainty * (2 * this.options.random() - 1));
        const pass = step.waitMilliseconds * record.load.getQueue()
            + 2 * link.latencyMilliseconds
            + getPenalty(record, positions, now);
        this.costs.stage[index] = part
            * ((expectedTokens + 1) * pass + expectedTokens * wholeStepPart * decode * layers);
        this.costs.transfer[index] = part
            * (options.positions + expectedTokens) * this.options.hiddenBytes / link.bytesPerMillisecond;
        this.costs.layer[index] = part
            * (expectedTokens * (1 - wholeStepPart) * decode + positions * step.prefillMilliseconds);
    }
}

/** Gets what each pass is charged for an endpoint that fails or is full, in milliseconds. */
function getPenalty({ load, maximumSequences }: EndpointRecord, positions: number, now: number): number {
    const isFull = load.getSequences() >= maximumSequences || load.getFreePositions() < positions;
    return load.getFailures(now) * failureMilliseconds + (isFull ? fullMilliseconds : 0);
}
