import type { Clock, TimerHandle } from "./clock.ts";
import type { Metrics } from "./metrics/metrics.ts";

/** Options of {@link NodeStatistics}. */
interface NodeStatisticsOptions {
    clock: Clock;
    metrics: Metrics;
    /** Computes the maximum throughput of the fleet, in positions per second. */
    computeBound(): number;
    getNodeCount(): number;
    getQueueLength(): number;
    /** Gets the number of tokens that this node has generated since its start. */
    getTokenCount(): number;
}

const refreshIntervalMilliseconds = 1_000;
/** Computing the bound takes tens of milliseconds at 1,200 engines, so only one in this many refreshes recomputes it. */
const refreshesPerBound = 30;
/** Weight of the latest rate in the moving average of tokens per second. */
const averageWeight = 0.2;

/** Computes the statistics of a node that are averages or too expensive to compute on demand. */
export class NodeStatistics {
    private readonly options: NodeStatisticsOptions;
    private timer: TimerHandle | undefined;
    private refreshes = 0;
    private lastTokenCount = 0;
    private refreshedAt: number;
    private tokensPerSecond = 0;
    private bound: number | undefined;

    private constructor(options: NodeStatisticsOptions) {
        this.options = options;
        this.refreshedAt = options.clock.getMonotonicTime();
    }

    /** Creates the statistics. They are not updated before {@link NodeStatistics.start}. */
    static create(options: NodeStatisticsOptions): NodeStatistics {
        return new NodeStatistics(options);
    }

    /** Refreshes the statistics immediately and then every second. */
    start(): void {
        this.refresh();
        this.timer = this.options.clock.setTimer(refreshIntervalMilliseconds, () => this.start());
    }

    /** Stops refreshing. */
    stop(): void {
        this.timer?.cancel();
    }

    /** Gets the moving average of the tokens per second that this node generates. */
    getTokensPerSecond(): number {
        return this.tokensPerSecond;
    }

    /** Gets the maximum throughput of the fleet in positions per second, or undefined before it was computed. */
    getThroughputBound(): number | undefined {
        return this.bound;
    }

    private refresh(): void {
        const { clock, metrics, computeBound, getNodeCount, getQueueLength, getTokenCount } = this.options;
        const now = clock.getMonotonicTime();
        const tokens = getTokenCount();
        const seconds = (now - this.refreshedAt) / 1_000;
        if (seconds > 0) {
            const currentRate = (tokens - this.lastTokenCount) / seconds;
            this.tokensPerSecond += (currentRate - this.tokensPerSecond) * averageWeight;
        }
        this.refreshedAt = now;
        this.lastTokenCount = tokens;
        if (this.refreshes % refreshesPerBound === 0) {
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
