import type { EndpointState } from "../../connection/endpoint/endpointState.ts";
import type { RandomSource } from "../../process/randomSource.ts";
import type { Configuration, EndpointConfiguration } from "../../version/configuration.ts";
import { areEqualRanges } from "./areEqualRanges.ts";
import type { PassObservation } from "./chainChooser.ts";
import { EndpointLoad } from "./endpointLoad.ts";
import type { EndpointRecord } from "./endpointRecord.ts";
import { computeLearntBound } from "./flow/computeLearntBound.ts";
import { LayeredGraph } from "./layeredGraph.ts";
import { LinkTable } from "./linkTable.ts";
import { ModelHolders } from "./modelHolders.ts";
import type { PrefixIndex } from "./prefixIndex.ts";
import { StepTimeEstimator } from "./stepTimeEstimator.ts";

/** Endpoints whose layers are compared with their state in one decision, besides those of the model itself. */
const endpointsCheckedPerDecision = 32;

/** What the fleet reads from. */
export interface ChainFleetOptions {
    getConfiguration: () => Configuration;
    getEndpointState: (endpoint: string) => EndpointState | undefined;
    prefixes: PrefixIndex;
    random: RandomSource;
}

/**
 * The engines of the configuration in force and the layered graph of each model. Graphs are kept until the
 * configuration or the layers of an endpoint change.
 */
export class ChainFleet {
    private readonly options: ChainFleetOptions;
    private readonly records = new Map<string, EndpointRecord>();
    private readonly models = new Map<string, ModelHolders>();
    private readonly estimator = StepTimeEstimator.create();
    private configuration: Configuration | undefined;
    private links = LinkTable.create({ dataCentres: {}, links: [] });
    private checkOrder: EndpointRecord[] = [];
    private nextCheck = 0;

    private constructor(options: ChainFleetOptions) {
        this.options = options;
    }

    /** Creates the fleet; the configuration is read at the first use. */
    static create(options: ChainFleetOptions): ChainFleet {
        return new ChainFleet(options);
    }

    /** Gets the record of an engine of the configuration. */
    getRecord(endpoint: string): EndpointRecord | undefined {
        this.followConfiguration();
        return this.records.get(endpoint);
    }

    /** Gets a model's holders; undefined for an unknown model. Layers that changed are seen within some decisions. */
    getModelHolders(model: string): ModelHolders | undefined {
        this.followConfiguration();
        this.checkSomeLayers();
        return this.models.get(model) ?? this.buildModelHolders(model);
    }

    /**
     * Computes the most positions a second that the fleet can carry now, by the learnt step times.
     * @param nodeDataCentres - Data centres of the nodes, one entry a node.
     */
    computeBound(nodeDataCentres: readonly string[]): number {
        this.followConfiguration();
        const { configuration, links, estimator } = this;
        if (configuration === undefined) {
            return 0;
        }
        const getModelHolders = (model: string) => this.getModelHolders(model);
        return computeLearntBound({ configuration, links, estimator, nodeDataCentres, getModelHolders });
    }

    /** Compares the layers of all endpoints with those that the graphs were built from. */
    checkAllLayers(): void {
        for (const record of this.checkOrder) {
            this.checkLayers(record);
        }
    }

    /** Learns from a pass. */
    observePass(observation: PassObservation, now: number, dataCentre: string): void {
        const record = this.getRecord(observation.endpoint);
        if (record === undefined) {
            return;
        }
        const link = this.links.getLink(dataCentre, record.dataCentre);
        const atEndpoint = Math.max(0, observation.elapsedMilliseconds - 2 * link.latencyMilliseconds);
        this.estimator.observe(record.name, observation, atEndpoint);
        record.load.observeQueue(observation.queue, now);
    }

    private followConfiguration(): void {
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
        this.checkOrder = [...this.records.values()];
        this.nextCheck = 0;
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

    private checkSomeLayers(): void {
        const count = Math.min(endpointsCheckedPerDecision, this.checkOrder.length);
        for (let checked = 0; checked < count; checked++) {
            this.nextCheck = (this.nextCheck + 1) % this.checkOrder.length;
            this.checkLayers(this.checkOrder[this.nextCheck] as EndpointRecord);
        }
    }

    /** Takes over an endpoint's layers where they changed, and drops the graphs that they belonged to. */
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

    /** Tells whether an endpoint holds other layers than its record says; one without a state keeps its record. */
    private hasChangedLayers(record: EndpointRecord): boolean {
        const state = this.options.getEndpointState(record.name);
        return state !== undefined && !areEqualRanges(state.layers, record.layers);
    }

    private buildModelHolders(model: string): ModelHolders | undefined {
        const layers = this.configuration?.models[model]?.layers;
        if (layers === undefined) {
            return undefined;
        }
        this.checkAllLayers();
        const ranges = this.checkOrder.flatMap(record =>
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
