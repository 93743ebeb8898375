/** Capacity left below this part of the largest capacity counts as none: the arithmetic is in floating point. */
const relativeTolerance = 1e-9;

/**
 * Maximum flow by Dinic's algorithm, over a directed graph whose vertices are numbered from 0.
 * Source: Y. Dinitz, "Algorithm for solution of a problem of maximum flow in networks with power estimation", 1970.
 */
export class MaximumFlow {
    /** Edges leaving each vertex. The edge back from edge N is N ^ 1. */
    private readonly edgesOf: number[][];
    private readonly targets: number[] = [];
    private readonly capacities: number[] = [];
    /** Capacity left of each edge. */
    private residuals: number[] = [];
    private levels: Int32Array;
    private nextEdge: Int32Array;
    private tolerance = 0;

    private constructor(vertices: number) {
        this.edgesOf = Array.from({ length: vertices }, () => []);
        this.levels = new Int32Array(vertices);
        this.nextEdge = new Int32Array(vertices);
    }

    /**
     * Creates a graph without edges.
     * @param vertices - Number of vertices.
     */
    static create(vertices: number): MaximumFlow {
        return new MaximumFlow(vertices);
    }

    /**
     * Adds an edge.
     * @returns The edge's number, for {@link MaximumFlow.getFlow}.
     */
    addEdge(from: number, to: number, capacity: number): number {
        const edge = this.targets.length;
        this.targets.push(to, from);
        this.capacities.push(capacity, 0);
        this.edgesOf[from]?.push(edge);
        this.edgesOf[to]?.push(edge + 1);
        return edge;
    }

    /** Sets an edge's capacity for the next {@link MaximumFlow.run}. */
    setCapacity(edge: number, capacity: number): void {
        this.capacities[edge] = capacity;
    }

    /**
     * Finds a maximum flow, from none.
     * @returns The flow's value.
     */
    run(source: number, sink: number): number {
        this.residuals = [...this.capacities];
        this.tolerance = relativeTolerance
            * this.capacities.reduce((largest, value) => value < Infinity ? Math.max(largest, value) : largest, 0);
        let total = 0;
        while (this.computeLevels(source, sink)) {
            this.nextEdge.fill(0);
            let pushed = this.push(source, sink, Infinity);
            while (pushed > 0) {
                total += pushed;
                pushed = this.push(source, sink, Infinity);
            }
        }
        return total;
    }

    /** Gets the flow over an edge after {@link MaximumFlow.run}. */
    getFlow(edge: number): number {
        return this.residuals[edge ^ 1] ?? 0;
    }

    /** Tells whether a vertex is on the source's side of the minimum cut that the last run found. */
    isOnSourceSide(vertex: number): boolean {
        return (this.levels[vertex] ?? -1) >= 0;
    }

    /** Sets the distance of each vertex from the source over edges with capacity left; false where the sink has none. */
    private computeLevels(source: number, sink: number): boolean {
        this.levels.fill(-1);
        this.levels[source] = 0;
        const queue = [source];
        for (const vertex of queue) {
            for (const edge of this.edgesOf[vertex] ?? []) {
                const target = this.targets[edge] as number;
                if (this.levels[target] === -1 && (this.residuals[edge] as number) > this.tolerance) {
                    this.levels[target] = (this.levels[vertex] as number) + 1;
                    queue.push(target);
                }
            }
        }
        return this.levels[sink] !== -1;
    }

    /** Pushes flow along one path of rising levels. */
    private push(vertex: number, sink: number, limit: number): number {
        if (vertex === sink) {
            return limit;
        }
        const edges = this.edgesOf[vertex] as number[];
        for (let next = this.nextEdge[vertex] as number; next < edges.length; next++) {
            this.nextEdge[vertex] = next;
            const edge = edges[next] as number;
            const target = this.targets[edge] as number;
            const residual = this.residuals[edge] as number;
            if (residual <= this.tolerance || this.levels[target] !== (this.levels[vertex] as number) + 1) {
                continue;
            }
            const pushed = this.push(target, sink, Math.min(limit, residual));
            if (pushed > 0) {
                this.residuals[edge] = residual - pushed;
                this.residuals[edge ^ 1] = (this.residuals[edge ^ 1] as number) + pushed;
                return pushed;
            }
        }
        this.nextEdge[vertex] = edges.length;
        return 0;
    }
}
