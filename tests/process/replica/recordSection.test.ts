import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RecordSection } from "../../../src/process/replica/recordSection.ts";
import type { StoreRecord } from "../../../src/process/replica/storeRecord.ts";

function createSection(state = new Map<string, string>()): RecordSection {
    return RecordSection.create({
        name: "s",
        onChange: ({ key, text }) => {
            if (text === undefined) {
                state.delete(key);
                return;
            }
            state.set(key, text);
        },
    });
}

const history = fc.array(fc.record({ key: fc.constantFrom("a", "b", "c"), isDeleted: fc.boolean() }), { maxLength: 40 })
    .map(changes =>
        changes.map<StoreRecord>(({ key, isDeleted }, index) => ({
            key,
            revision: index + 1,
            text: isDeleted ? undefined : `text ${index}`,
        }))
    );

function replay(records: StoreRecord[]): Map<string, string> {
    const state = new Map<string, string>();
    for (const { key, text } of records) {
        if (text === undefined) {
            state.delete(key);
        }
        else {
            state.set(key, text);
        }
    }
    return state;
}

describe("RecordSection", () => {
    it("converges to the state of the store, even if changes are applied repeatedly", () => {
        fc.assert(fc.property(history, fc.integer({ min: 0, max: 40 }), fc.boolean(), (records, cut, isTwice) => {
            const ahead = createSection();
            ahead.applyChanges(records, records.length, "store");
            const state = new Map<string, string>();
            const behind = createSection(state);
            behind.applyChanges(records.slice(0, cut), Math.min(cut, records.length), "store");
            const changes = ahead.getChangesSince(behind.getFrontier());
            for (let times = isTwice ? 2 : 1; changes !== undefined && times > 0; times--) {
                if (changes.isWhole) {
                    behind.applyListing(changes.records, changes.frontier, "peer");
                }
                else {
                    behind.applyChanges(changes.records, changes.frontier, "peer");
                }
            }
            assert.deepEqual(state, replay(records));
            assert.equal(ahead.getChangesSince(behind.getFrontier()), undefined);
        }));
    });

    it("deletes keys that a listing lacks, except for later changes", () => {
        const state = new Map<string, string>();
        const section = createSection(state);
        section.applyChanges([{ key: "a", revision: 1, text: "1" }, { key: "b", revision: 5, text: "5" }], 5, "store");
        section.applyListing([], 4, "store");
        assert.deepEqual([...state.keys()], ["b"]);
    });

    it("never replaces a record with an older one", () => {
        const state = new Map<string, string>();
        const section = createSection(state);
        section.applyChanges([{ key: "a", revision: 5, text: "new" }], 5, "store");
        section.applyChanges(
            [{ key: "a", revision: 3, text: "old" }, { key: "a", revision: 4, text: undefined }],
            4,
            "peer",
        );
        assert.equal(state.get("a"), "new");
    });
});
