import type { EndpointState } from "../../connection/endpoint/endpointState.ts";
import type { ChainOptions } from "./chainChooser.ts";
import { ChainSearch } from "./chainSearch.ts";
import type { EndpointRecord } from "./endpointRecord.ts";
import type { HolderCosts } from "./holderCosts.ts";
import type { LayeredGraph } from "./layeredGraph.ts";
import type { LinkTable } from "./linkTable.ts";
import type { StepTimeEstimator } from "./stepTimeEstimator.ts";

const KAPPA = Number(process.env.KAPPA ?? 8);
const PARTIAL = Number(process.env.PARTIAL ?? 0.8);
const QW = Number(process.env.QW ?? 0);
const MODE = process.env.MODE ?? "sum";

/** Tokens that a request is expected to generate; weighs the time between tokens against that to the first one. */
const expectedTokens = 64;
/** Part of the estimated time that a preferred endpoint is charged. */
const preferredPart = 0.8;
/** Charge for one recent failure, in milliseconds for each pass. */
const failureMilliseconds = 200;

/** What a model's holders are built from. */
export interface ModelHoldersOptions {
    graph: LayeredGraph;
    /** Record of each holder's endpoint, by holder index. */
    records: readonly EndpointRecord[];
    /** Bytes of one position's activations. */
    hiddenBytes: number;
    links: LinkTable;
    estimator: StepTimeEstimator;
    getEndpointState: (endpoint: string) => EndpointState | undefined;
}

/** The holders of one model's layers with their estimated costs. */
export class ModelHolders {
    readonly graph: LayeredGraph;
    readonly records: readonly EndpointRecord[];
    readonly search: ChainSearch;
    readonly costs: HolderCosts;
    private readonly options: ModelHoldersOptions;

    private constructor(options: ModelHoldersOptions) {
        this.options = options;
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

    /** Finds the holders whose endpoint serves and is not excluded. */
    findUsable(excluded: ReadonlySet<string>): number[] {
        const usable: number[] = [];
        for (let index = 0; index < this.records.length; index++) {
            const { name } = this.records[index] as EndpointRecord;
            if (!excluded.has(name) && this.options.getEndpointState(name)?.state === "serving") {
                usable.push(index);
            }
        }
        return usable;
    }

    /** Finds the first layer that none of the usable holders holds; 0 where all are held. */
    findMissingLayer(usable: readonly number[]): number {
        const set = new Set(usable);
        return this.graph.findMissingLayer(holder => set.has(holder)) ?? 0;
    }

    /**
     * Estimates the costs of some holders.
     * @param candidates - Indices of the holders.
     * @param options - What the chain is for.
     * @param now - Monotonic time in milliseconds.
     */
    estimateCosts(candidates: readonly number[], options: ChainOptions, now: number): void {
        for (const index of candidates) {
            this.estimateCost(index, options, now);
        }
    }

    private estimateCost(index: number, options: ChainOptions, now: number): void {
        const { name, load, dataCentre } = this.records[index] as EndpointRecord;
        const step = this.options.estimator.getEstimate(name);
        const link = this.options.links.getLink(options.dataCentre, dataCentre);
        const wait = step.wait * load.getQueue();
        const passes = expectedTokens + 1;
        const part = options.preferred.has(name) ? preferredPart : 1;
        const failures = load.getFailures(now) * failureMilliseconds;
        this.costs.stage[index] = part * passes * (wait + 2 * link.latencyMilliseconds + failures);
        this.costs.transfer[index] = part * (options.positions + expectedTokens) * this.options.hiddenBytes
            / link.bytesPerMillisecond;
        const record = this.records[index] as EndpointRecord;
        const turnaround = KAPPA * (load.getSequences() + 1) * (this.graph.holders[index]!.layers * PARTIAL)
            * step.decodeMilliseconds / record.maximumSequences;
        this.costs.stage[index] = part * passes * (wait * QW + 2 * link.latencyMilliseconds + failures);
        const price = MODE === "sum"
            ? step.decodeMilliseconds + turnaround / 32
            : MODE === "sq"
            ? step.decodeMilliseconds * (1 + (turnaround / 32 / step.decodeMilliseconds) ** 2)
            : Math.max(step.decodeMilliseconds, turnaround / 32);
        this.costs.layer[index] = part
            * (expectedTokens * price + options.positions * step.prefillMilliseconds);
    }
}
