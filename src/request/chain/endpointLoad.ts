/** Maximum delay of a load report. Older starts and ends of this node's sequences are discarded. */
const maximumReportLagMilliseconds = 10_000;
/** Half-life of the weight of a failure. */
const failureHalfLifeMilliseconds = 5_000;

/** Weight of a new value in the moving average of the queue length. */
const queueWeight = 0.3;

/** Start or end of a sequence of this node. */
interface SequenceChange {
    time: number;
    change: 1 | -1;
}

/**
 * Load of an endpoint as this node knows it: the last report, which is delayed, corrected by the sequences that this
 * node started and ended there after the report's values were sampled.
 */
export class EndpointLoad {
    /** Number of this node's sequences that run on the endpoint. */
    private ownSequences = 0;
    private ownSequenceChanges: SequenceChange[] = [];
    /** Number of other nodes' sequences at the last report. */
    private otherSequences = 0;
    private queue = 0;
    private queueObservedAt = -Infinity;
    /** This node's sequences at the time of the queue length. */
    private ownSequencesAtQueueUpdate = 0;
    private freePositions = Infinity;
    private decayedFailures = 0;
    private lastFailureAt = 0;

    private constructor() {}

    /** Creates the load of an endpoint that is assumed to be idle, because nothing is known about it yet. */
    static create(): EndpointLoad {
        return new EndpointLoad();
    }

    /** Counts a sequence that this node started. */
    addSequence(now: number): void {
        this.ownSequences++;
        this.recordChange({ time: now, change: 1 });
    }

    /** Stops counting a sequence that this node started. */
    removeSequence(now: number): void {
        if (this.ownSequences > 0) {
            this.ownSequences--;
            this.recordChange({ time: now, change: -1 });
        }
    }

    /**
     * Applies a load report.
     * @param sampledAt - Monotonic time when the values were sampled, in milliseconds.
     */
    applyReport(report: { queue: number; sequences: number; freePositions: number; }, sampledAt: number): void {
        let ownSequencesAtSample = this.ownSequences;
        for (const { time, change } of this.ownSequenceChanges) {
            if (time > sampledAt) {
                ownSequencesAtSample -= change;
            }
        }
        this.otherSequences = Math.max(0, report.sequences - ownSequencesAtSample);
        this.freePositions = report.freePositions;
        if (sampledAt >= this.queueObservedAt) {
            this.queue = report.queue;
            this.queueObservedAt = sampledAt;
            this.ownSequencesAtQueueUpdate = ownSequencesAtSample;
        }
    }

    /** Updates the moving average of the queue length. */
    observeQueueLength(queue: number, now: number): void {
        this.queue = queueWeight * queue + (1 - queueWeight) * this.queue;
        this.queueObservedAt = now;
        this.ownSequencesAtQueueUpdate = this.ownSequences;
    }

    /** Adds a failure. Its weight halves every {@link failureHalfLifeMilliseconds}. */
    addFailure(now: number): void {
        this.decayedFailures = this.getFailures(now) + 1;
        this.lastFailureAt = now;
    }

    /** Gets the number of failures, weighted by their age. */
    getFailures(now: number): number {
        return this.decayedFailures === 0
            ? 0
            : this.decayedFailures * Math.pow(0.5, (now - this.lastFailureAt) / failureHalfLifeMilliseconds);
    }

    /** Gets the estimated number of sequences that run on the endpoint. */
    getSequenceCount(): number {
        return this.otherSequences + this.ownSequences;
    }

    /** Gets the number of positions that fit into the endpoint's free memory, from the last report. */
    getFreePositions(): number {
        return this.freePositions;
    }

    /** Gets the estimated queue length: the last known value plus the sequences that this node added since. */
    getQueueLength(): number {
        return this.queue + Math.max(0, this.ownSequences - this.ownSequencesAtQueueUpdate);
    }

    private recordChange(change: SequenceChange): void {
        const oldest = this.ownSequenceChanges[0];
        if (oldest !== undefined && oldest.time < change.time - 2 * maximumReportLagMilliseconds) {
            this.ownSequenceChanges = this.ownSequenceChanges.filter(entry =>
                entry.time >= change.time - maximumReportLagMilliseconds
            );
        }
        this.ownSequenceChanges.push(change);
    }
}
