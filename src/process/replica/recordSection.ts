import type { ChangeSource } from "./changeSource.ts";
import type { SectionChanges } from "./sectionChanges.ts";
import type { StoreRecord } from "./storeRecord.ts";

/** Options of a {@link RecordSection}. */
interface RecordSectionOptions {
    /** Name of the section among the nodes. */
    name: string;
    /** Called for each record that is new here. */
    onChange(record: StoreRecord, source: ChangeSource): void;
}

/** Deletions are kept for nodes that lag; one that lags more gets everything. */
const mostDeletions = 2_000;

/**
 * A copy of the store's records with one prefix. The store's revisions order the changes, so it does not matter whether
 * they come from the store or from a peer, nor in which order: a record is never replaced by an older one.
 */
export class RecordSection {
    readonly name: string;
    private readonly options: RecordSectionOptions;
    private readonly records = new Map<string, StoreRecord>();
    private frontier = 0;
    /** Deletions up to this revision may have been forgotten. */
    private forgottenUntil = 0;
    private deletions = 0;

    private constructor(options: RecordSectionOptions) {
        this.name = options.name;
        this.options = options;
    }

    /** Creates an empty copy. */
    static create(options: RecordSectionOptions): RecordSection {
        return new RecordSection(options);
    }

    /** Gets the revision up to which every change is known; 0 where nothing is. */
    getFrontier(): number {
        return this.frontier;
    }

    /**
     * Takes changes in.
     * @param records - The changes, all there were after this section's frontier.
     * @param frontier - Revision up to which no other change is missing.
     * @param source - Where they come from.
     */
    applyChanges(records: Iterable<StoreRecord>, frontier: number, source: ChangeSource): void {
        for (const record of records) {
            this.applyRecord(record, source);
        }
        this.frontier = Math.max(this.frontier, frontier);
    }

    /** Takes a whole listing in: keys that are not in it and have not changed since are deleted. */
    applyListing(records: readonly StoreRecord[], frontier: number, source: ChangeSource): void {
        const listed = new Set(records.map(({ key }) => key));
        for (const { key, revision, text } of [...this.records.values()]) {
            if (!listed.has(key) && revision <= frontier && text !== undefined) {
                this.applyRecord({ key, revision: frontier, text: undefined }, source);
            }
        }
        this.applyChanges(records, frontier, source);
    }

    /**
     * Gets what a peer lacks; undefined where it lacks nothing.
     * @param frontier - The peer's frontier.
     */
    getChangesSince(frontier: number): SectionChanges | undefined {
        if (frontier >= this.frontier) {
            return undefined;
        }
        const isWhole = frontier < this.forgottenUntil || frontier === 0;
        const records: StoreRecord[] = [];
        for (const record of this.records.values()) {
            const isNeeded = isWhole ? record.text !== undefined : record.revision > frontier;
            if (isNeeded) {
                records.push(record);
            }
        }
        return { frontier: this.frontier, isWhole, records };
    }

    private applyRecord(record: StoreRecord, source: ChangeSource): void {
        const known = this.records.get(record.key);
        if (known !== undefined && known.revision >= record.revision) {
            return;
        }
        this.records.set(record.key, record);
        if (record.text === undefined) {
            this.deletions += 1;
            this.forgetDeletions();
        }
        this.options.onChange(record, source);
    }

    private forgetDeletions(): void {
        if (this.deletions <= mostDeletions) {
            return;
        }
        for (const [key, { revision, text }] of this.records) {
            if (text === undefined) {
                this.records.delete(key);
                this.forgottenUntil = Math.max(this.forgottenUntil, revision);
            }
        }
        this.deletions = 0;
    }
}
