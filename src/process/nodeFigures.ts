import type { Clock, TimerHandle } from "./clock.ts";
import type { Metrics } from "./metrics/metrics.ts";

/** Options of {@link NodeFigures}. */
interface NodeFiguresOptions {
    clock: Clock;
    metrics: Metrics;
    /** Computes the most positions a second that the fleet can carry now. */
    computeBound(): number;
    getNodeCount(): number;
    getQueueLength(): number;
    /** Gets the tokens that this node has answered since its start. */
    getTokenCount(): number;
}

const refreshMilliseconds = 1_000;
/** The bound costs some tens of milliseconds at 1,200 engines, so it is worked out anew less often. */
const boundRefreshes = 30;
/** Weight of the last second in the average of tokens a second. */
const averageWeight = 0.2;

/** Keeps the figures of a node that are averages or cost something to work out. */
export class NodeFigures {
    private readonly options: NodeFiguresOptions;
    private timer: TimerHandle | undefined;
    private refreshes = 0;
    private lastTokenCount = 0;
    private lastAt: number;
    private tokensPerSecond = 0;
    private bound: number | undefined;

    private constructor(options: NodeFiguresOptions) {
        this.options = options;
        this.lastAt = options.clock.getMonotonicTime();
    }

    /** Creates the figures; they stand still before {@link NodeFigures.start}. */
    static create(options: NodeFiguresOptions): NodeFigures {
        return new NodeFigures(options);
    }

    /** Starts to refresh, each second. */
    start(): void {
        this.refresh();
        this.timer = this.options.clock.setTimer(refreshMilliseconds, () => this.start());
    }

    /** Stops refreshing. */
    stop(): void {
        this.timer?.cancel();
    }

    /** Tokens a second that this node has lately answered. */
    getTokensPerSecond(): number {
        return this.tokensPerSecond;
    }

    /** The most positions a second that the fleet can carry; undefined before it was worked out. */
    getBound(): number | undefined {
        return this.bound;
    }

    private refresh(): void {
        const { clock, metrics, computeBound, getNodeCount, getQueueLength, getTokenCount } = this.options;
        const now = clock.getMonotonicTime();
        const tokens = getTokenCount();
        const seconds = (now - this.lastAt) / 1_000;
        if (seconds > 0) {
            const latest = (tokens - this.lastTokenCount) / seconds;
            this.tokensPerSecond += (latest - this.tokensPerSecond) * averageWeight;
        }
        this.lastAt = now;
        this.lastTokenCount = tokens;
        if (this.refreshes % boundRefreshes === 0) {
            this.bound = computeBound();
            metrics.flowBoundTokensPerSecond.set(this.bound);
        }
        this.refreshes += 1;
        metrics.queueDepth.set(getQueueLength());
        if (this.bound !== undefined && this.bound > 0) {
            metrics.achievedShare.set(this.tokensPerSecond * getNodeCount() / this.bound);
        }
    }
}
