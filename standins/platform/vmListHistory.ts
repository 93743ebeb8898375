import type { Clock } from "../../src/process/clock.ts";
import type { VmRecord } from "../../src/process/platform/vmList.ts";

interface VmListVersion {
    /** Monotonic time from which this version stands, in milliseconds. */
    since: number;
    vms: ReadonlyMap<string, VmRecord>;
}

/** The list of machines, shown as it was some time ago. */
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
     * @param clock - Source of time.
     * @param lagMilliseconds - How old the list is that is shown, in milliseconds.
     */
    static create(clock: Clock, lagMilliseconds: number): VmListHistory {
        return new VmListHistory(clock, lagMilliseconds);
    }

    /** Adds or replaces a machine. */
    set(name: string, record: VmRecord): void {
        this.add(new Map(this.getNewest()).set(name, record));
    }

    /** Removes a machine; does nothing where it is absent. */
    remove(name: string): void {
        const vms = new Map(this.getNewest());
        vms.delete(name);
        this.add(vms);
    }

    /** Gets the machines as they were the lag ago. */
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

    /** Leaves the version that is shown now at the head, and the newer ones behind it. */
    private dropOutdated(): void {
        const shownTime = this.clock.getMonotonicTime() - this.lagMilliseconds;
        const shown = this.versions.findLastIndex(version => version.since <= shownTime);
        this.versions = this.versions.slice(Math.max(0, shown));
    }
}
