/** Residual capacity below this fraction of the largest capacity counts as zero, because of rounding errors. */
const relativeTolerance = 1e-9;

/**
 * Computes maximum flows by Dinic's algorithm in a directed graph whose vertices are numbered from 0.
 * Source: Y. Dinitz, "Algorithm for solution of a problem of maximum flow in networks with power estimation", 1970.
 */
export class MaximumFlow {
    /** Edges that leave each vertex. The reverse of edge N is edge N ^ 1. */
    private readonly edgesByVertex: number[][];
    private readonly edgeTargets: number[] = [];
    private readonly capacities: number[] = [];
    /** Residual capacity of each edge. */
    private residualCapacities: number[] = [];
    private levels: Int32Array;
    private nextEdges: Int32Array;
    private tolerance = 0;

    private constructor(vertices: number) {
        this.edgesByVertex = Array.from({ length: vertices }, () => []);
        this.levels = new Int32Array(vertices);
        this.nextEdges = new Int32Array(vertices);
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
        const edge = this.edgeTargets.length;
        this.edgeTargets.push(to, from);
        this.capacities.push(capacity, 0);
        this.edgesByVertex[from]?.push(edge);
        this.edgesByVertex[to]?.push(edge + 1);
        return edge;
    }

    /** Sets an edge's capacity for the next {@link MaximumFlow.run}. */
    setCapacity(edge: number, capacity: number): void {
        this.capacities[edge] = capacity;
    }

    /**
     * Computes a maximum flow, starting from zero flow.
     * @returns The flow's value.
     */
    run(source: number, sink: number): number {
        this.residualCapacities = [...this.capacities];
        this.tolerance = relativeTolerance
            * this.capacities.reduce((largest, value) => value < Infinity ? Math.max(largest, value) : largest, 0);
        let total = 0;
        while (this.computeLevels(source, sink)) {
            this.nextEdges.fill(0);
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
        return this.residualCapacities[edge ^ 1] ?? 0;
    }

    /** Checks if a vertex is on the source's side of the minimum cut that the last run found. */
    isOnSourceSide(vertex: number): boolean {
        return (this.levels[vertex] ?? -1) >= 0;
    }

    /** Sets each vertex's distance from the source in the residual graph. Returns false if the sink is unreachable. */
    private computeLevels(source: number, sink: number): boolean {
        this.levels.fill(-1);
        this.levels[source] = 0;
        const queue = [source];
        for (const vertex of queue) {
            for (const edge of this.edgesByVertex[vertex] ?? []) {
                const target = this.edgeTargets[edge] as number;
                if (this.levels[target] === -1 && (this.residualCapacities[edge] as number) > this.tolerance) {
                    this.levels[target] = (this.levels[vertex] as number) + 1;
                    queue.push(target);
                }
            }
        }
        return this.levels[sink] !== -1;
    }

    /** Pushes flow along one path on which the level rises by one at each edge. */
    private push(vertex: number, sink: number, limit: number): number {
        if (vertex === sink) {
            return limit;
        }
        const edges = this.edgesByVertex[vertex] as number[];
        for (let next = this.nextEdges[vertex] as number; next < edges.length; next++) {
            this.nextEdges[vertex] = next;
            const edge = edges[next] as number;
            const target = this.edgeTargets[edge] as number;
            const residual = this.residualCapacities[edge] as number;
            if (residual <= this.tolerance || this.levels[target] !== (this.levels[vertex] as number) + 1) {
                continue;
            }
            const pushed = this.push(target, sink, Math.min(limit, residual));
            if (pushed > 0) {
                this.residualCapacities[edge] = residual - pushed;
                this.residualCapacities[edge ^ 1] = (this.residualCapacities[edge ^ 1] as number) + pushed;
                return pushed;
            }
        }
        this.nextEdges[vertex] = edges.length;
        return 0;
    }
}
