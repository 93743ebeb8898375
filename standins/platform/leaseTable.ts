import type { Clock, TimerHandle } from "../../src/process/clock.ts";

const millisecondsPerSecond = 1_000;

interface Lease {
    timeToLiveSeconds: number;
    timer: TimerHandle;
}

/** Leases and their expiry timers. */
export class LeaseTable {
    private readonly clock: Clock;
    private readonly onExpired: (leaseId: string) => void;
    private readonly leases = new Map<string, Lease>();
    private nextId: bigint;

    private constructor(clock: Clock, onExpired: (leaseId: string) => void) {
        this.clock = clock;
        this.onExpired = onExpired;
        this.nextId = BigInt(Math.floor(clock.getWallTime())) << 20n;
    }

    /**
     * Creates an empty table.
     * @param onExpired - Called after an expired lease was removed from the table.
     */
    static create(clock: Clock, onExpired: (leaseId: string) => void): LeaseTable {
        return new LeaseTable(clock, onExpired);
    }

    /** Grants a lease and returns its ID. */
    grant(timeToLiveSeconds: number): string {
        this.nextId++;
        const leaseId = String(this.nextId);
        this.start(leaseId, timeToLiveSeconds);
        return leaseId;
    }

    has(leaseId: string): boolean {
        return this.leases.has(leaseId);
    }

    /** Renews a lease and returns its time to live in seconds, or 0 if it has expired. */
    renew(leaseId: string): number {
        const lease = this.leases.get(leaseId);
        if (lease === undefined) {
            return 0;
        }
        this.start(leaseId, lease.timeToLiveSeconds);
        return lease.timeToLiveSeconds;
    }

    /** Removes a lease. Returns false if it does not exist. */
    remove(leaseId: string): boolean {
        this.leases.get(leaseId)?.timer.cancel();
        return this.leases.delete(leaseId);
    }

    /** Gets the time to live in seconds of each lease. */
    getTimesToLive(): Map<string, number> {
        return new Map([...this.leases].map(([leaseId, lease]) => [leaseId, lease.timeToLiveSeconds]));
    }

    /** Replaces all leases. Each new lease starts with its full time to live. */
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
            this.onExpired(leaseId);
        });
        this.leases.set(leaseId, { timeToLiveSeconds, timer });
    }
}
