import type { ChangeSource } from "./changeSource.ts";
import { EraRevision } from "./eraRevision.ts";
import type { RecordRevision } from "./recordRevision.ts";
import type { SectionChanges } from "./sectionChanges.ts";
import type { StoreRecord } from "./storeRecord.ts";

/** Options of a {@link RecordSection}. */
interface RecordSectionOptions {
    /** Name of the section in peer messages. */
    name: string;
    /** Called for each record that is new to this copy. */
    onChange(record: StoreRecord, source: ChangeSource): void;
    /**
     * Checks if a record from a later era of the store is older than the known one, because the store was restored from an older snapshot.
     * The known text then stays.
     */
    isOutdated?(record: StoreRecord, known: StoreRecord): boolean;
}

/** Maximum number of deletions that are kept for lagging peers. A peer that lags further gets all records. */
const maximumDeletions = 2_000;

/**
 * Replica of the store's records with one prefix. Changes are ordered by their era revisions, so they may come from the store
 * or from a peer, in any order: a record is never replaced by an older one. After the store was restored from an older snapshot, a full
 * listing gives each record a revision of the new era, so that peers that know the earlier one get all of them.
 */
export class RecordSection {
    readonly name: string;
    private readonly options: RecordSectionOptions;
    private readonly records = new Map<string, StoreRecord>();
    private frontier = 0;
    /**
     * Revision up to which deletions may be missing, because they were discarded, or because a listing does not report those of keys
     * that were not known.
     */
    private discardedUntil = 0;
    private deletionCount = 0;

    private constructor(options: RecordSectionOptions) {
        this.name = options.name;
        this.options = options;
    }

    /** Creates an empty section. */
    static create(options: RecordSectionOptions): RecordSection {
        return new RecordSection(options);
    }

    /** Gets the revision up to which all changes are known; 0 if there are none. */
    getFrontier(): number {
        return this.frontier;
    }

    /**
     * Applies changes.
     * @param records - All changes after this section's frontier.
     * @param frontier - Revision up to which the changes are complete.
     * @param source - Source of the changes.
     */
    applyChanges(records: Iterable<StoreRecord>, frontier: number, source: ChangeSource): void {
        for (const record of records) {
            if (!this.isDeletedSince(record, frontier)) {
                this.applyRecord(record, source);
            }
        }
        this.frontier = Math.max(this.frontier, frontier);
    }

    /**
     * Applies a full listing. Keys that are not in it and have not changed since are deleted.
     * @param records - The listed records.
     * @param frontier - Revision up to which the listing is complete.
     * @param source - Source of the listing.
     * @param unchanged - Further listed records, which {@link hasRecords} has found to be known.
     */
    applyListing(
        records: readonly StoreRecord[],
        frontier: number,
        source: ChangeSource,
        unchanged: readonly RecordRevision[] = [],
    ): void {
        const listed = new Set([...records, ...unchanged].map(({ key }) => key));
        for (const { key, revision, text } of [...this.records.values()]) {
            if (!listed.has(key) && revision <= frontier && text !== undefined) {
                this.applyRecord({ key, revision: frontier, text: undefined }, source);
            }
        }
        if (frontier > this.frontier) {
            this.discardedUntil = Math.max(this.discardedUntil, frontier);
        }
        this.applyChanges(records, frontier, source);
    }

    /**
     * Checks if records that a peer left out as unchanged are known.
     * @param unchanged - The records.
     * @param frontier - Revision up to which the peer's answer is complete.
     */
    hasRecords(unchanged: readonly RecordRevision[], frontier: number): boolean {
        return unchanged.every(record => {
            const revision = this.records.get(record.key)?.revision ?? 0;
            return revision >= record.revision || this.isDeletedSince(record, frontier);
        });
    }

    /**
     * Gets the changes that a peer lacks; undefined if there are none. A full section that is sent because of missing deletions leaves
     * out the texts that the peer has by its frontier: that of the configuration may exceed 100 KB.
     * @param frontier - The peer's frontier.
     */
    getChangesSince(frontier: number): SectionChanges | undefined {
        if (frontier >= this.frontier) {
            return undefined;
        }
        const isWhole = frontier < this.discardedUntil || frontier === 0;
        const changes: SectionChanges = { frontier: this.frontier, isWhole, records: [], unchanged: [] };
        for (const record of this.records.values()) {
            if (isWhole && record.text === undefined) {
                continue;
            }
            if (record.revision > frontier) {
                changes.records.push(record);
            }
            else if (isWhole) {
                changes.unchanged.push({ key: record.key, revision: record.revision });
            }
        }
        return changes;
    }

    /**
     * Checks if a record in an answer that is older than this section belongs to a key that was deleted since: the section has all
     * records up to its frontier. The deletion may not be recorded here, or an earlier one may be, if the store was restored since.
     */
    private isDeletedSince({ key, revision }: RecordRevision, frontier: number): boolean {
        return frontier < this.frontier && revision <= this.frontier && this.records.get(key)?.text === undefined;
    }

    private applyRecord(record: StoreRecord, source: ChangeSource): void {
        const known = this.records.get(record.key);
        if (known !== undefined && known.revision >= record.revision) {
            return;
        }
        if (known !== undefined && this.isKept(record, known)) {
            this.records.set(record.key, { ...known, revision: record.revision });
            return;
        }
        this.records.set(record.key, record);
        if (record.text === undefined) {
            this.deletionCount += 1;
            this.discardDeletions();
        }
        this.options.onChange(record, source);
    }

    /** Checks if a record of a later era leaves the known text as it is. */
    private isKept(record: StoreRecord, known: StoreRecord): boolean {
        const isLaterEra = EraRevision.getEra(record.revision) > EraRevision.getEra(known.revision);
        return isLaterEra && (record.text === known.text || this.options.isOutdated?.(record, known) === true);
    }

    private discardDeletions(): void {
        if (this.deletionCount <= maximumDeletions) {
            return;
        }
        for (const [key, { revision, text }] of this.records) {
            if (text === undefined) {
                this.records.delete(key);
                this.discardedUntil = Math.max(this.discardedUntil, revision);
            }
        }
        this.deletionCount = 0;
    }
}
