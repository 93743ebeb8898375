import type { Clock } from "../../src/process/clock.ts";
import type { VmRecord } from "../../src/process/platform/vmList.ts";

interface VmListVersion {
    /** Monotonic time at which this version was created, in milliseconds. */
    since: number;
    vms: ReadonlyMap<string, VmRecord>;
}

/** VM list whose visible state lags behind. */
export class VmListHistory {
    private readonly clock: Clock;
    private readonly lagMilliseconds: number;
    private versions: VmListVersion[] = [{ since: -Infinity, vms: new Map() }];

    private constructor(clock: Clock, lagMilliseconds: number) {
        this.clock = clock;
        this.lagMilliseconds = lagMilliseconds;
    }

    /**
     * Creates an empty list.
     * @param lagMilliseconds - Age of the visible state, in milliseconds.
     */
    static create(clock: Clock, lagMilliseconds: number): VmListHistory {
        return new VmListHistory(clock, lagMilliseconds);
    }

    /** Adds or replaces a VM. */
    set(name: string, record: VmRecord): void {
        this.add(new Map(this.getNewest()).set(name, record));
    }

    /** Removes a VM if it exists. */
    remove(name: string): void {
        const vms = new Map(this.getNewest());
        vms.delete(name);
        this.add(vms);
    }

    /** Gets the VMs as they were `lagMilliseconds` ago. */
    getVms(): VmRecord[] {
        this.dropOutdated();
        return [...this.versions[0]?.vms.values() ?? []];
    }

    private getNewest(): ReadonlyMap<string, VmRecord> {
        return this.versions.at(-1)?.vms ?? new Map();
    }

    private add(vms: ReadonlyMap<string, VmRecord>): void {
        this.dropOutdated();
        this.versions.push({ since: this.clock.getMonotonicTime(), vms });
    }

    /** Removes the versions that are older than the visible one, so that the visible version is the first. */
    private dropOutdated(): void {
        const visibleTime = this.clock.getMonotonicTime() - this.lagMilliseconds;
        const visibleIndex = this.versions.findLastIndex(version => version.since <= visibleTime);
        this.versions = this.versions.slice(Math.max(0, visibleIndex));
    }
}
