import type { FlowBoundOptions, FlowModel } from "./flowBoundOptions.ts";
import { MaximumFlow } from "./maximumFlow.ts";

/** Flow that falls short of the demand by less than this part meets it. */
const tolerance = 1e-7;
const source = 0;
const sink = 1;

/** An edge into the sink, whose capacity grows with the scale. */
interface DemandEdge {
    edge: number;
    from: number;
    /** Capacity at scale 1. */
    unit: number;
}

interface HolderEdge {
    model: string;
    interval: number;
    holder: number;
    edge: number;
    layers: number;
}

/**
 * The network whose maximum flow tells whether a given number of positions a second can be carried. Flow is counted in
 * positions times layers a second, so an endpoint that serves several ranges or models has one capacity, its rate:
 * source -> endpoint -> (interval, the endpoint's data centre) -> (interval, a node's data centre) -> sink.
 * Since the node drives every hop, an interval's choice of endpoint does not bind the next one's.
 */
export class FlowNetwork {
    private readonly options: FlowBoundOptions;
    private readonly flow: MaximumFlow;
    private readonly vertices: ReadonlyMap<string, number>;
    private readonly demands: DemandEdge[] = [];
    private readonly holderEdges: HolderEdge[] = [];

    private constructor(options: FlowBoundOptions) {
        this.options = options;
        this.vertices = numberVertices(options);
        this.flow = MaximumFlow.create(this.vertices.size + 2);
        for (const [name, { rate }] of options.endpoints) {
            this.flow.addEdge(source, this.getVertex(name), rate);
        }
        const total = options.models.reduce((sum, model) => sum + model.demand, 0);
        for (const model of options.models) {
            for (let interval = 0; interval < model.graph.intervals; interval++) {
                this.addInterval(model, interval, model.demand / total);
            }
        }
    }

    /** Builds the network. */
    static create(options: FlowBoundOptions): FlowNetwork {
        return new FlowNetwork(options);
    }

    /**
     * Finds the most positions a second by the discrete Newton method: each minimum cut below the demand gives the
     * next, lower scale. The flow of the last step stays in the network.
     */
    findLargestScale(): number {
        const units = this.demands.reduce((sum, demand) => sum + demand.unit, 0);
        const rates = [...this.options.endpoints.values()].reduce((sum, endpoint) => sum + endpoint.rate, 0);
        let scale = units === 0 ? 0 : rates / units;
        while (scale > 0) {
            for (const { edge, unit } of this.demands) {
                this.flow.setCapacity(edge, scale * unit);
            }
            const carried = this.flow.run(source, sink);
            if (carried >= scale * units * (1 - tolerance)) {
                return scale;
            }
            const cutUnits = this.demands
                .filter(demand => this.flow.isOnSourceSide(demand.from))
                .reduce((sum, demand) => sum + demand.unit, 0);
            scale = Math.max(0, (carried - scale * cutUnits) / (units - cutUnits));
        }
        return 0;
    }

    /** Gets the positions a second by model, interval and holder of the last flow. */
    getFlows(): Map<string, Float64Array[]> {
        const flows = new Map(this.options.models.map(({ name, graph }) => [
            name,
            Array.from({ length: graph.intervals }, () => new Float64Array(graph.holders.length)),
        ]));
        for (const { model, interval, holder, edge, layers } of this.holderEdges) {
            const row = flows.get(model)?.[interval];
            if (row !== undefined) {
                row[holder] = (row[holder] ?? 0) + this.flow.getFlow(edge) / layers;
            }
        }
        return flows;
    }

    private addInterval(model: FlowModel, interval: number, part: number): void {
        const { graph } = model;
        const layers = graph.getLayer(interval + 1) - graph.getLayer(interval);
        const nodes = [...this.options.nodes].filter(([, share]) => share > 0);
        const totalShare = nodes.reduce((sum, [, share]) => sum + share, 0);
        const dataCentres = new Set<string>();
        for (const holder of graph.holdersOfInterval[interval] ?? []) {
            dataCentres.add(this.addHolder(model, interval, holder, layers));
        }
        for (const [node, share] of nodes) {
            const vertex = this.getVertex(nameNode(model.name, interval, node));
            const unit = part * share / totalShare * layers;
            this.demands.push({ edge: this.flow.addEdge(vertex, sink, 0), from: vertex, unit });
            for (const dataCentre of dataCentres) {
                const { bytesPerMillisecond } = this.options.links.getLink(node, dataCentre);
                const positions = model.hiddenBytes === 0 ? Infinity : bytesPerMillisecond * 1_000 / model.hiddenBytes;
                this.flow.addEdge(
                    this.getVertex(nameGroup(model.name, interval, dataCentre)),
                    vertex,
                    positions * layers,
                );
            }
        }
    }

    /** Joins a holder's endpoint to an interval; a holder of the whole model moves no activations over links. */
    private addHolder(model: FlowModel, interval: number, holder: number, layers: number): string {
        const { endpoint, endInterval, firstInterval } = model.graph.holders[holder] ?? { endpoint: "" };
        const dataCentre = this.options.endpoints.get(endpoint)?.dataCentre ?? "";
        const isWhole = firstInterval === 0 && endInterval === model.graph.intervals;
        const targets = isWhole
            ? [...this.options.nodes.keys()].map(node => nameNode(model.name, interval, node))
            : [nameGroup(model.name, interval, dataCentre)];
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

function numberVertices({ endpoints, models, nodes }: FlowBoundOptions): Map<string, number> {
    const dataCentres = new Set([...endpoints.values()].map(endpoint => endpoint.dataCentre));
    const names = [...endpoints.keys()];
    for (const { graph, name } of models) {
        for (let interval = 0; interval < graph.intervals; interval++) {
            names.push(...[...dataCentres].map(dataCentre => nameGroup(name, interval, dataCentre)));
            names.push(...[...nodes.keys()].map(node => nameNode(name, interval, node)));
        }
    }
    return new Map(names.map((name, index) => [name, index + 2]));
}

function nameGroup(model: string, interval: number, dataCentre: string): string {
    return `endpoints/${model}/${interval}/${dataCentre}`;
}

function nameNode(model: string, interval: number, dataCentre: string): string {
    return `nodes/${model}/${interval}/${dataCentre}`;
}
