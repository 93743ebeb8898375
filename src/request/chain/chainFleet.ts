import type { EndpointState } from "../../connection/endpoint/endpointState.ts";
import type { RandomSource } from "../../process/randomSource.ts";
import type { Configuration, EndpointConfiguration } from "../../version/configuration.ts";
import { areLayerRangesEqual } from "./areLayerRangesEqual.ts";
import type { PassObservation } from "./chainChooser.ts";
import { EndpointLoad } from "./endpointLoad.ts";
import type { EndpointRecord } from "./endpointRecord.ts";
import { computeFleetFlowBound } from "./flow/computeFleetFlowBound.ts";
import { LayeredGraph } from "./layeredGraph.ts";
import { LinkTable } from "./linkTable.ts";
import { ModelHolders } from "./modelHolders.ts";
import type { PrefixIndex } from "./prefixIndex.ts";
import { StepTimeEstimator } from "./stepTimeEstimator.ts";

/** Number of endpoints whose layers are checked for changes at each choice, in turn. */
const layerChecksPerChoice = 32;

/** Options of a {@link ChainFleet}. */
export interface ChainFleetOptions {
    getConfiguration: () => Configuration;
    getEndpointState: (endpoint: string) => EndpointState | undefined;
    prefixes: PrefixIndex;
    random: RandomSource;
}

/**
 * The engines of the configuration in force and the layered graph of each model. A graph is cached until the
 * configuration or the layers of one of its endpoints change.
 */
export class ChainFleet {
    private readonly options: ChainFleetOptions;
    private readonly records = new Map<string, EndpointRecord>();
    private readonly models = new Map<string, ModelHolders>();
    private readonly estimator = StepTimeEstimator.create();
    private configuration: Configuration | undefined;
    private links = LinkTable.create({ dataCentres: {}, links: [] });
    private recordsToCheck: EndpointRecord[] = [];
    private nextCheckIndex = 0;

    private constructor(options: ChainFleetOptions) {
        this.options = options;
    }

    /** Creates the fleet. The configuration is read on first use. */
    static create(options: ChainFleetOptions): ChainFleet {
        return new ChainFleet(options);
    }

    /** Gets the record of an engine in the configuration in force. */
    getRecord(endpoint: string): EndpointRecord | undefined {
        this.refreshConfiguration();
        return this.records.get(endpoint);
    }

    /** Gets a model's holders, or undefined if the model is unknown. Changed layers are detected within a few calls. */
    getModelHolders(model: string): ModelHolders | undefined {
        this.refreshConfiguration();
        this.checkNextLayers();
        return this.models.get(model) ?? this.buildModelHolders(model);
    }

    /**
     * Computes an upper bound on the fleet's current throughput in positions per second, from the learned step times.
     * @param nodeDataCentres - Data centre of each node, with one entry per node.
     */
    computeFlowBound(nodeDataCentres: readonly string[]): number {
        this.refreshConfiguration();
        const { configuration, links, estimator } = this;
        if (configuration === undefined) {
            return 0;
        }
        const getModelHolders = (model: string) => this.getModelHolders(model);
        return computeFleetFlowBound({ configuration, links, estimator, nodeDataCentres, getModelHolders });
    }

    /** Checks the layers of all endpoints and drops the graphs whose layers changed. */
    checkAllLayers(): void {
        for (const record of this.recordsToCheck) {
            this.checkLayers(record);
        }
    }

    /** Updates step times and queue length from a pass. */
    observePass(observation: PassObservation, now: number, dataCentre: string): void {
        const record = this.getRecord(observation.endpoint);
        if (record === undefined) {
            return;
        }
        const link = this.links.getLink(dataCentre, record.dataCentre);
        const milliseconds = Math.max(0, observation.elapsedMilliseconds - 2 * link.latencyMilliseconds);
        this.estimator.observe(record.name, observation, milliseconds);
        record.load.observeQueueLength(observation.queue, now);
    }

    private refreshConfiguration(): void {
        const configuration = this.options.getConfiguration();
        if (configuration === this.configuration) {
            return;
        }
        this.configuration = configuration;
        this.links = LinkTable.create(configuration);
        this.models.clear();
        const engines = Object.entries(configuration.endpoints).filter(([, endpoint]) => endpoint.kind === "engine");
        const names = new Set(engines.map(([name]) => name));
        for (const name of this.records.keys()) {
            if (!names.has(name)) {
                this.records.delete(name);
                this.estimator.removeEndpoint(name);
            }
        }
        for (const [name, endpoint] of engines) {
            this.updateRecord(name, endpoint);
        }
        this.recordsToCheck = [...this.records.values()];
        this.nextCheckIndex = 0;
    }

    private updateRecord(name: string, endpoint: EndpointConfiguration): void {
        this.estimator.addEndpoint(name, endpoint.accelerator ?? "", endpoint.stepMillisecondsPerLayer);
        const record = this.records.get(name) ?? {
            name,
            load: EndpointLoad.create(),
            dataCentre: "",
            maximumSequences: 1,
            layers: [],
        };
        record.dataCentre = endpoint.dataCentre;
        record.maximumSequences = endpoint.maximumSequences;
        record.layers = this.options.getEndpointState(name)?.layers ?? [];
        this.records.set(name, record);
    }

    private checkNextLayers(): void {
        const count = Math.min(layerChecksPerChoice, this.recordsToCheck.length);
        for (let checked = 0; checked < count; checked++) {
            this.nextCheckIndex = (this.nextCheckIndex + 1) % this.recordsToCheck.length;
            this.checkLayers(this.recordsToCheck[this.nextCheckIndex] as EndpointRecord);
        }
    }

    /** Updates an endpoint's layers if they changed, and drops the graphs of the models concerned. */
    private checkLayers(record: EndpointRecord): void {
        if (!this.hasChangedLayers(record)) {
            return;
        }
        const layers = this.options.getEndpointState(record.name)?.layers ?? [];
        for (const range of [...record.layers, ...layers]) {
            this.models.delete(range.model);
        }
        record.layers = layers;
    }

    /** Checks if an endpoint's layers differ from its record. False for an endpoint without a state. */
    private hasChangedLayers(record: EndpointRecord): boolean {
        const state = this.options.getEndpointState(record.name);
        return state !== undefined && !areLayerRangesEqual(state.layers, record.layers);
    }

    private buildModelHolders(model: string): ModelHolders | undefined {
        const layers = this.configuration?.models[model]?.layers;
        if (layers === undefined) {
            return undefined;
        }
        this.checkAllLayers();
        const ranges = this.recordsToCheck.flatMap(record =>
            record.layers
                .filter(range => range.model === model)
                .map(range => ({ endpoint: record.name, start: range.start, end: range.end }))
        );
        const graph = LayeredGraph.create(layers, ranges);
        const holders = ModelHolders.create({
            model,
            graph,
            records: graph.holders.map(holder => this.records.get(holder.endpoint) as EndpointRecord),
            hiddenBytes: this.configuration?.models[model]?.hiddenBytes ?? 0,
            links: this.links,
            estimator: this.estimator,
            prefixes: this.options.prefixes,
            random: this.options.random,
            getEndpointState: this.options.getEndpointState,
        });
        this.models.set(model, holders);
        return holders;
    }
}
