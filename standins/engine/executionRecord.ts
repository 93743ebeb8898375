import type { Pass } from "../../src/connection/endpoint/engineProtocol.ts";

/** Consecutive positions that ran through the same layers. */
interface ExecutionRun {
    attempt: number;
    model: string;
    position: number;
    count: number;
    layerStart: number;
    layerEnd: number;
    rebuild: boolean;
}

/** Counters of an engine's work. */
interface ExecutionSummary {
    requests: number;
    steps: number;
    /** Passes that ran completely or partially. */
    passes: number;
    positions: number;
    /** Positions multiplied by layers, without rebuilds. */
    layerPositions: number;
    rebuildLayerPositions: number;
    /** Passes that were sent again and got the stored or pending result of the first one. */
    repeatedPasses: number;
    /** Number of refused passes by reason. */
    refused: Record<string, number>;
}

/** Record of the work that an engine has executed, for checks in tests. */
export class ExecutionRecord {
    readonly summary: ExecutionSummary = {
        requests: 0,
        steps: 0,
        passes: 0,
        positions: 0,
        layerPositions: 0,
        rebuildLayerPositions: 0,
        repeatedPasses: 0,
        refused: {},
    };
    private readonly runs = new Map<string, ExecutionRun[]>();
    private readonly maximumRequests: number;

    private constructor(maximumRequests: number) {
        this.maximumRequests = maximumRequests;
    }

    /**
     * Creates an empty record.
     * @param maximumRequests - Number of requests to keep; the oldest are removed.
     */
    static create(maximumRequests: number): ExecutionRecord {
        return new ExecutionRecord(maximumRequests);
    }

    /** Adds positions that ran, and merges them with the previous run if they continue it. */
    addRun(pass: Pass, count: number, layerEnd: number): void {
        const { request, attempt, model, position, layerStart, rebuild = false } = pass;
        const runs = this.runs.get(request) ?? this.addRequest(request);
        const last = runs.at(-1);
        this.summary.passes++;
        this.summary.positions += count;
        this.summary[rebuild ? "rebuildLayerPositions" : "layerPositions"] += count * (layerEnd - layerStart);
        if (
            last?.attempt === attempt && last.model === model && last.layerStart === layerStart
            && last.layerEnd === layerEnd && last.rebuild === rebuild && last.position + last.count === position
        ) {
            last.count += count;
            return;
        }
        runs.push({ attempt, model, position, count, layerStart, layerEnd, rebuild });
    }

    /** Counts a refused pass. */
    addRefusal(reason: string): void {
        this.summary.refused[reason] = (this.summary.refused[reason] ?? 0) + 1;
    }

    /** Gets the runs of one request, in order of execution. */
    getRuns(request: string): ExecutionRun[] {
        return this.runs.get(request) ?? [];
    }

    /** Gets the runs of all requests, by request ID. */
    getAllRuns(): Record<string, ExecutionRun[]> {
        return Object.fromEntries(this.runs);
    }

    private addRequest(request: string): ExecutionRun[] {
        const runs: ExecutionRun[] = [];
        this.runs.set(request, runs);
        this.summary.requests++;
        if (this.runs.size > this.maximumRequests) {
            const [oldest] = this.runs.keys();
            this.runs.delete(oldest ?? request);
        }
        return runs;
    }
}
