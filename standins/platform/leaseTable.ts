import type { Clock, TimerHandle } from "../../src/process/clock.ts";

const millisecondsPerSecond = 1_000;

interface Lease {
    timeToLiveSeconds: number;
    timer: TimerHandle;
}

/** The leases and the timers at which they lapse. */
export class LeaseTable {
    private readonly clock: Clock;
    private readonly onLapsed: (leaseId: string) => void;
    private readonly leases = new Map<string, Lease>();
    private nextId: bigint;

    private constructor(clock: Clock, onLapsed: (leaseId: string) => void) {
        this.clock = clock;
        this.onLapsed = onLapsed;
        this.nextId = BigInt(Math.floor(clock.getWallTime())) << 20n;
    }

    /**
     * Creates an empty table.
     * @param clock - Source of time.
     * @param onLapsed - Called when a lease has lapsed and is gone from the table.
     */
    static create(clock: Clock, onLapsed: (leaseId: string) => void): LeaseTable {
        return new LeaseTable(clock, onLapsed);
    }

    /** Grants a lease and gets its ID. */
    grant(timeToLiveSeconds: number): string {
        this.nextId++;
        const leaseId = String(this.nextId);
        this.start(leaseId, timeToLiveSeconds);
        return leaseId;
    }

    has(leaseId: string): boolean {
        return this.leases.has(leaseId);
    }

    /** Renews a lease and gets its time to live in seconds; 0 where it has lapsed. */
    renew(leaseId: string): number {
        const lease = this.leases.get(leaseId);
        if (lease === undefined) {
            return 0;
        }
        this.start(leaseId, lease.timeToLiveSeconds);
        return lease.timeToLiveSeconds;
    }

    /** Removes a lease. False where it isn't there. */
    remove(leaseId: string): boolean {
        this.leases.get(leaseId)?.timer.cancel();
        return this.leases.delete(leaseId);
    }

    /** Gets the times to live in seconds, by lease. */
    getTimesToLive(): Map<string, number> {
        return new Map([...this.leases].map(([leaseId, lease]) => [leaseId, lease.timeToLiveSeconds]));
    }

    /** Replaces all leases by others, each with its whole time to live before it. */
    replaceAll(timesToLive: ReadonlyMap<string, number>): void {
        for (const leaseId of [...this.leases.keys()]) {
            this.remove(leaseId);
        }
        for (const [leaseId, seconds] of timesToLive) {
            this.start(leaseId, seconds);
        }
    }

    private start(leaseId: string, timeToLiveSeconds: number): void {
        this.leases.get(leaseId)?.timer.cancel();
        const timer = this.clock.setTimer(timeToLiveSeconds * millisecondsPerSecond, () => {
            this.leases.delete(leaseId);
            this.onLapsed(leaseId);
        });
        this.leases.set(leaseId, { timeToLiveSeconds, timer });
    }
}
