/** Own starts and ends older than this are forgotten: no report lags longer, in milliseconds. */
const longestLagMilliseconds = 10_000;
/** Half-life of a counted failure, in milliseconds. */
const failureHalfLifeMilliseconds = 5_000;

/** Weight of the newest number of waiting passes against those seen before. */
const queueWeight = 0.3;

interface SequenceChange {
    time: number;
    change: 1 | -1;
}

/**
 * What this node knows of an endpoint's load: the last report, which lags, corrected by the sequences that this node
 * itself started and ended there since the report's figures were taken.
 */
export class EndpointLoad {
    /** Sequences of this node that run on the endpoint. */
    private ownSequences = 0;
    private changes: SequenceChange[] = [];
    /** Sequences of all other nodes, at the last report. */
    private otherSequences = 0;
    private queue = 0;
    private queueTime = -Infinity;
    /** Own sequences when the queue was seen. */
    private ownAtQueue = 0;
    private freePositions = Infinity;
    private failures = 0;
    private failureTime = 0;

    private constructor() {}

    /** Creates the load of an endpoint that nothing is known of yet: idle. */
    static create(): EndpointLoad {
        return new EndpointLoad();
    }

    /** Counts a sequence that this node starts. */
    addSequence(now: number): void {
        this.ownSequences++;
        this.recordChange({ time: now, change: 1 });
    }

    /** Counts the end of a sequence that this node started. */
    removeSequence(now: number): void {
        if (this.ownSequences > 0) {
            this.ownSequences--;
            this.recordChange({ time: now, change: -1 });
        }
    }

    /**
     * Takes in a report.
     * @param takenAt - Monotonic time when the figures were taken, in milliseconds.
     */
    applyReport(report: { queue: number; sequences: number; freePositions: number; }, takenAt: number): void {
        let ownThen = this.ownSequences;
        for (const { time, change } of this.changes) {
            if (time > takenAt) {
                ownThen -= change;
            }
        }
        this.otherSequences = Math.max(0, report.sequences - ownThen);
        this.freePositions = report.freePositions;
        if (takenAt >= this.queueTime) {
            this.queue = report.queue;
            this.queueTime = takenAt;
            this.ownAtQueue = ownThen;
        }
    }

    /** Takes in the number of passes that waited just now. */
    observeQueue(queue: number, now: number): void {
        this.queue = queueWeight * queue + (1 - queueWeight) * this.queue;
        this.queueTime = now;
        this.ownAtQueue = this.ownSequences;
    }

    /** Counts a failure; its weight halves every {@link failureHalfLifeMilliseconds}. */
    addFailure(now: number): void {
        this.failures = this.getFailures(now) + 1;
        this.failureTime = now;
    }

    /** Gets the number of failures, older ones counting less. */
    getFailures(now: number): number {
        return this.failures === 0
            ? 0
            : this.failures * Math.pow(0.5, (now - this.failureTime) / failureHalfLifeMilliseconds);
    }

    /** Gets the sequences that run on the endpoint, as far as is known. */
    getSequences(): number {
        return this.otherSequences + this.ownSequences;
    }

    /** Gets the positions that fit in the endpoint's memory, as last reported. */
    getFreePositions(): number {
        return this.freePositions;
    }

    /** Gets the passes that wait at the endpoint: as last seen, and one for each sequence that was added since. */
    getQueue(): number {
        return this.queue + Math.max(0, this.ownSequences - this.ownAtQueue);
    }

    private recordChange(change: SequenceChange): void {
        const oldest = this.changes[0];
        if (oldest !== undefined && oldest.time < change.time - 2 * longestLagMilliseconds) {
            this.changes = this.changes.filter(entry => entry.time >= change.time - longestLagMilliseconds);
        }
        this.changes.push(change);
    }
}
