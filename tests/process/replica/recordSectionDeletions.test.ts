import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EraRevision } from "../../../src/process/replica/eraRevision.ts";
import { RecordSection } from "../../../src/process/replica/recordSection.ts";
import type { SectionChanges } from "../../../src/process/replica/sectionChanges.ts";
import type { StoreRecord } from "../../../src/process/replica/storeRecord.ts";

/** A section and the state that its owner sees. */
class Replica {
    readonly state = new Map<string, string>();
    readonly section = RecordSection.create({
        name: "s",
        onChange: ({ key, text }) => text === undefined ? this.state.delete(key) : this.state.set(key, text),
    });

    apply({ frontier, isWhole, records, unchanged }: SectionChanges): void {
        assert.ok(this.section.hasRecords(unchanged, frontier), "The section lacks a record by its frontier.");
        if (isWhole) {
            this.section.applyListing(records, frontier, "peer", unchanged);
        }
        else {
            this.section.applyChanges(records, frontier, "peer");
        }
    }

    exchangeWith(peer: Replica): void {
        const changes = peer.section.getChangesSince(this.section.getFrontier());
        if (changes !== undefined) {
            this.apply(changes);
        }
    }
}

/** A store whose state is known at each revision. */
class ModelStore {
    readonly states = new Map<number, Map<string, string>>();
    private era = 0;
    private revision = 0;
    private records = new Map<string, StoreRecord>();
    private readonly snapshots: { revision: number; records: Map<string, StoreRecord>; }[] = [];
    private changes: StoreRecord[] = [];
    private count = 0;

    getRevision(): number {
        return EraRevision.create(this.era, this.revision);
    }

    change(key: string, isDeleted: boolean): void {
        this.snapshots.push({ revision: this.revision, records: new Map(this.records) });
        this.revision += 1;
        this.count += 1;
        const record = { key, revision: this.getRevision(), text: isDeleted ? undefined : `text ${this.count}` };
        this.changes.push(record);
        this.records.delete(key);
        if (!isDeleted) {
            this.records.set(key, record);
        }
        this.noteState();
    }

    /** Returns to an earlier snapshot, in a new era. */
    restore(age: number): void {
        const snapshot = this.snapshots.at(-1 - age);
        if (snapshot === undefined) {
            return;
        }
        this.era += 1;
        this.revision = snapshot.revision;
        this.changes = [];
        this.records = new Map([...snapshot.records].map(([key, { revision, text }]) => {
            return [key, { key, revision: EraRevision.create(this.era, EraRevision.getRevision(revision)), text }];
        }));
        this.noteState();
    }

    list(): StoreRecord[] {
        return [...this.records.values()];
    }

    /** Gets the changes after a frontier; undefined if they are no longer known. */
    getChangesSince(frontier: number): StoreRecord[] | undefined {
        const isKnown = frontier > 0 && EraRevision.getEra(frontier) === this.era;
        return isKnown ? this.changes.filter(({ revision }) => revision > frontier) : undefined;
    }

    private noteState(): void {
        const state = [...this.records.values()].map(({ key, text }) => [key, text!] as const);
        this.states.set(this.getRevision(), new Map(state));
    }
}

const replicaCount = 4;
const replicaIndex = fc.nat(replicaCount - 1);
const key = fc.constantFrom("a", "b", "c", "d");
const steps = fc.array(
    fc.oneof(
        { weight: 6, arbitrary: fc.record({ kind: fc.constant("change" as const), key, isDeleted: fc.boolean() }) },
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("restore" as const), age: fc.nat(3) }) },
        {
            weight: 9,
            arbitrary: fc.record({
                kind: fc.constantFrom("list" as const, "watch" as const, "exchange" as const, "exchange" as const),
                to: replicaIndex,
                from: replicaIndex,
                // Number of steps by which the answer is delayed, so that others overtake it.
                delay: fc.constantFrom(0, 0, 1, 4),
            }),
        },
    ),
    { minLength: 10, maxLength: 60 },
);

describe("RecordSection and deletions", () => {
    const endpoint = { key: "endpoint", revision: 50, text: "ready" };

    // A node that had read a listing without a deleted endpoint gave its peers the frontier without the deletion. They kept sending requests
    // to the endpoint.
    for (const order of [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] as const) {
        it(`deletes a key that a peer's listing lacks, in the order ${order.join(", ")} of exchanges`, () => {
            const [old, further, started] = [new Replica(), new Replica(), new Replica()] as const;
            old.section.applyChanges([endpoint], 108, "store");
            further.section.applyChanges([endpoint], 100, "store");
            started.section.applyListing([], 109, "store");
            const exchanges = [
                () => old.exchangeWith(started),
                () => further.exchangeWith(old),
                () => further.exchangeWith(started),
            ] as const;
            for (const index of [...order, ...order]) {
                exchanges[index]!();
            }
            for (const { section, state } of [old, further, started]) {
                assert.equal(section.getFrontier(), 109);
                assert.deepEqual([...state.keys()], []);
            }
        });
    }

    // The text of the configuration may exceed 100 KB, and each node that starts reads a listing at another revision.
    it("leaves out the texts that the peer has by its frontier", () => {
        const started = new Replica();
        const later = { key: "later", revision: 109, text: "new" };
        started.section.applyListing([endpoint, later], 110, "store");
        const unchanged = [{ key: "endpoint", revision: 50 }];
        const expected = { frontier: 110, isWhole: true, records: [later], unchanged };
        assert.deepEqual(started.section.getChangesSince(108), expected);
    });

    it("reports an unchanged record that it does not know, or knows in an earlier revision only", () => {
        const { section } = new Replica();
        section.applyChanges([endpoint], 108, "store");
        assert.equal(section.hasRecords([{ key: "endpoint", revision: 50 }], 109), true);
        assert.equal(section.hasRecords([{ key: "endpoint", revision: 51 }], 109), false);
        assert.equal(section.hasRecords([{ key: "other", revision: 50 }], 109), false);
    });

    // The answer of a peer that is behind, requested before the listing was read, returned a deleted endpoint for good.
    it("ignores a late answer with a key that a listing has shown to be deleted", () => {
        const started = new Replica();
        started.section.applyListing([], 109, "store");
        started.section.applyListing([endpoint], 108, "peer");
        started.section.applyChanges([endpoint], 108, "store");
        assert.deepEqual([...started.state.keys()], []);
    });

    // After a restore of the store, a late listing of before returned a key that had been deleted, added again and lost by the restore.
    it("ignores a late answer with a key of which only an earlier deletion is known", () => {
        const replica = new Replica();
        replica.section.applyChanges([endpoint], 50, "store");
        replica.section.applyChanges([{ key: "endpoint", revision: 60, text: undefined }], 60, "store");
        replica.section.applyListing([], 109, "store");
        replica.section.applyListing([{ key: "endpoint", revision: 70, text: "again" }], 80, "store");
        assert.deepEqual([...replica.state.keys()], []);
    });

    it("ignores a late answer with a key whose deletion is no longer recorded", () => {
        const replica = new Replica();
        replica.section.applyChanges([endpoint], 50, "store");
        const deletions = Array.from({ length: 2_100 }, (_, index) => {
            return { key: index === 0 ? "endpoint" : `key ${index}`, revision: 51 + index, text: undefined };
        });
        replica.section.applyChanges(deletions, 3_000, "store");
        replica.section.applyChanges([endpoint], 50, "peer");
        assert.deepEqual([...replica.state.keys()], []);
    });

    // A section that claims a frontier without the changes up to it passes the gap on to each peer that is behind.
    it("has exactly the store's records at its frontier after any sequence of changes, listings and exchanges", () => {
        fc.assert(
            fc.property(steps, plan => {
                const store = new ModelStore();
                const replicas = Array.from({ length: replicaCount }, () => new Replica());
                const delayed: { dueAt: number; apply: () => void; }[] = [];
                const check = () => {
                    for (const { section, state } of replicas) {
                        const expected = store.states.get(section.getFrontier()) ?? new Map<string, string>();
                        assert.deepEqual(new Map([...state].sort()), new Map([...expected].sort()));
                    }
                };
                for (const [index, step] of plan.entries()) {
                    if (step.kind === "change") {
                        store.change(step.key, step.isDeleted);
                    }
                    else if (step.kind === "restore") {
                        store.restore(step.age);
                    }
                    else {
                        const { section } = replicas[step.to]!;
                        const revision = store.getRevision();
                        const after = section.getFrontier();
                        const changes = step.kind === "watch" ? store.getChangesSince(after) : undefined;
                        const records = store.list();
                        const answer = replicas[step.from]!.section.getChangesSince(after);
                        const apply = () => {
                            if (step.kind === "exchange") {
                                if (answer !== undefined) {
                                    replicas[step.to]!.apply(answer);
                                }
                            }
                            else if (changes === undefined) {
                                section.applyListing(records, revision, "store");
                            }
                            else {
                                section.applyChanges(changes, revision, "store");
                            }
                        };
                        delayed.push({ dueAt: index + step.delay, apply });
                    }
                    for (const { dueAt, apply } of delayed) {
                        if (dueAt === index) {
                            apply();
                            check();
                        }
                    }
                }
            }),
            { numRuns: 2_000 },
        );
    });
});
