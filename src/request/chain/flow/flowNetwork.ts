import type { FlowBoundOptions, FlowModel } from "./flowBoundOptions.ts";
import { MaximumFlow } from "./maximumFlow.ts";

/** Relative shortfall of the flow below which the demand counts as met. */
const relativeTolerance = 1e-7;
const source = 0;
const sink = 1;

/** An edge to the sink. Its capacity is proportional to the scale, the positions per second over all models. */
interface DemandEdge {
    edge: number;
    from: number;
    /** Capacity at a scale of 1. */
    unitCapacity: number;
}

interface HolderEdge {
    model: string;
    interval: number;
    holder: number;
    edge: number;
    layers: number;
}

/**
 * A flow network whose maximum flow shows whether a given number of positions per second can be carried. The unit of
 * flow is positions times layers per second, so an endpoint that serves several ranges or models has a single capacity:
 * source -> endpoint -> (interval, the endpoint's data centre) -> (interval, a node's data centre) -> sink.
 * The activations return to the node after every stage, so the endpoint of one interval does not restrict the endpoint
 * of the next.
 */
export class FlowNetwork {
    private readonly options: FlowBoundOptions;
    private readonly flow: MaximumFlow;
    private readonly vertices: ReadonlyMap<string, number>;
    private readonly demands: DemandEdge[] = [];
    private readonly holderEdges: HolderEdge[] = [];

    private constructor(options: FlowBoundOptions) {
        this.options = options;
        this.vertices = createVertexNumbers(options);
        this.flow = MaximumFlow.create(this.vertices.size + 2);
        for (const [name, { rate }] of options.endpoints) {
            this.flow.addEdge(source, this.getVertex(name), rate);
        }
        const total = options.models.reduce((sum, model) => sum + model.demand, 0);
        for (const model of options.models) {
            for (let interval = 0; interval < model.graph.intervalCount; interval++) {
                this.addInterval(model, interval, model.demand / total);
            }
        }
    }

    /** Creates the network. */
    static create(options: FlowBoundOptions): FlowNetwork {
        return new FlowNetwork(options);
    }

    /**
     * Finds the largest number of positions per second by the discrete Newton method: while the minimum cut is below
     * the demand, it determines the next, lower scale. The flow of the last iteration stays in the network.
     */
    findMaximumPositionsPerSecond(): number {
        const totalUnitCapacity = this.demands.reduce((sum, demand) => sum + demand.unitCapacity, 0);
        const totalRate = [...this.options.endpoints.values()].reduce((sum, endpoint) => sum + endpoint.rate, 0);
        let scale = totalUnitCapacity === 0 ? 0 : totalRate / totalUnitCapacity;
        while (scale > 0) {
            for (const { edge, unitCapacity } of this.demands) {
                this.flow.setCapacity(edge, scale * unitCapacity);
            }
            const carried = this.flow.run(source, sink);
            if (carried >= scale * totalUnitCapacity * (1 - relativeTolerance)) {
                return scale;
            }
            const cutUnitCapacity = this.demands
                .filter(demand => this.flow.isOnSourceSide(demand.from))
                .reduce((sum, demand) => sum + demand.unitCapacity, 0);
            scale = Math.max(0, (carried - scale * cutUnitCapacity) / (totalUnitCapacity - cutUnitCapacity));
        }
        return 0;
    }

    /** Gets the positions per second of the last flow by model, interval and holder. */
    getFlows(): Map<string, Float64Array[]> {
        const flows = new Map(this.options.models.map(({ name, graph }) => [
            name,
            Array.from({ length: graph.intervalCount }, () => new Float64Array(graph.holders.length)),
        ]));
        for (const { model, interval, holder, edge, layers } of this.holderEdges) {
            const row = flows.get(model)?.[interval];
            if (row !== undefined) {
                row[holder] = (row[holder] ?? 0) + this.flow.getFlow(edge) / layers;
            }
        }
        return flows;
    }

    private addInterval(model: FlowModel, interval: number, demandFraction: number): void {
        const { graph } = model;
        const layers = graph.getLayer(interval + 1) - graph.getLayer(interval);
        const nodeShares = [...this.options.nodeShares].filter(([, share]) => share > 0);
        const totalShare = nodeShares.reduce((sum, [, share]) => sum + share, 0);
        const dataCentres = new Set<string>();
        for (const holder of graph.holderIndicesByInterval[interval] ?? []) {
            dataCentres.add(this.addHolder(model, interval, holder, layers));
        }
        for (const [node, share] of nodeShares) {
            const vertex = this.getVertex(getNodeVertexName(model.name, interval, node));
            const unitCapacity = demandFraction * share / totalShare * layers;
            this.demands.push({ edge: this.flow.addEdge(vertex, sink, 0), from: vertex, unitCapacity });
            for (const dataCentre of dataCentres) {
                const { bytesPerMillisecond } = this.options.links.getLink(node, dataCentre);
                const positionsPerSecond = model.hiddenBytes === 0
                    ? Infinity
                    : bytesPerMillisecond * 1_000 / model.hiddenBytes;
                this.flow.addEdge(
                    this.getVertex(getHolderVertexName(model.name, interval, dataCentre)),
                    vertex,
                    positionsPerSecond * layers,
                );
            }
        }
    }

    /** Connects a holder's endpoint to an interval. A holder of the whole model sends no activations over links. */
    private addHolder(model: FlowModel, interval: number, holder: number, layers: number): string {
        const { endpoint, endInterval, firstInterval } = model.graph.holders[holder] ?? { endpoint: "" };
        const dataCentre = this.options.endpoints.get(endpoint)?.dataCentre ?? "";
        const holdsWholeModel = firstInterval === 0 && endInterval === model.graph.intervalCount;
        const targets = holdsWholeModel
            ? [...this.options.nodeShares.keys()].map(node => getNodeVertexName(model.name, interval, node))
            : [getHolderVertexName(model.name, interval, dataCentre)];
        for (const target of targets) {
            const edge = this.flow.addEdge(this.getVertex(endpoint), this.getVertex(target), Infinity);
            this.holderEdges.push({ model: model.name, interval, holder, edge, layers });
        }
        return dataCentre;
    }

    private getVertex(name: string): number {
        const vertex = this.vertices.get(name);
        if (vertex === undefined) {
            throw new Error(`Vertex "${name}" is not in the network. Give a rate for each endpoint of a graph.`);
        }
        return vertex;
    }
}

function createVertexNumbers({ endpoints, models, nodeShares }: FlowBoundOptions): Map<string, number> {
    const dataCentres = new Set([...endpoints.values()].map(endpoint => endpoint.dataCentre));
    const names = [...endpoints.keys()];
    for (const { graph, name } of models) {
        for (let interval = 0; interval < graph.intervalCount; interval++) {
            names.push(...[...dataCentres].map(dataCentre => getHolderVertexName(name, interval, dataCentre)));
            names.push(...[...nodeShares.keys()].map(node => getNodeVertexName(name, interval, node)));
        }
    }
    return new Map(names.map((name, index) => [name, index + 2]));
}

function getHolderVertexName(model: string, interval: number, dataCentre: string): string {
    return `endpoints/${model}/${interval}/${dataCentre}`;
}

function getNodeVertexName(model: string, interval: number, dataCentre: string): string {
    return `nodes/${model}/${interval}/${dataCentre}`;
}
