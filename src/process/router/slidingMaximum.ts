/** How long a count is kept after it was last seen. Network partitions and restarts of many nodes are shorter. */
const windowMilliseconds = 30_000;
const bucketMilliseconds = 5_000;

/** The maximum count within one bucket of time. */
interface CountBucket {
    bucket: number;
    count: number;
}

/**
 * Maximum count over the last 30 seconds. Limits for all nodes together are divided by the number of nodes. A node that is
 * partitioned from the others must not take over their shares, since they are still alive on the other side.
 */
export class SlidingMaximum {
    private buckets: CountBucket[];

    private constructor(count: number, now: number) {
        this.buckets = [{ bucket: getBucket(now), count }];
    }

    /**
     * Creates a window that contains one count.
     * @param count - Initial count.
     * @param now - Monotonic time in milliseconds.
     */
    static create(count: number, now: number): SlidingMaximum {
        return new SlidingMaximum(count, now);
    }

    /** Adds the current count and gets the maximum. */
    add(count: number, now: number): number {
        const bucket = getBucket(now);
        const latest = this.buckets.at(-1);
        if (latest?.bucket === bucket) {
            latest.count = Math.max(latest.count, count);
        }
        else {
            this.buckets.push({ bucket, count });
            this.buckets = this.buckets.filter(kept => kept.bucket >= bucket - windowMilliseconds / bucketMilliseconds);
        }
        return Math.max(...this.buckets.map(kept => kept.count));
    }
}

function getBucket(now: number): number {
    return Math.floor(now / bucketMilliseconds);
}
