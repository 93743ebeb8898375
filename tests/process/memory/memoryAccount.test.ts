import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { MemoryAccount } from "../../../src/process/memory/memoryAccount.ts";
import { RecordingEventLog } from "../../support/recordingEventLog.ts";

const kilobyte = 1_000;
const limitBytes = 1_000 * kilobyte;

describe("MemoryAccount", () => {
    let account: MemoryAccount;
    let log: RecordingEventLog;
    let measures: number;
    let now: number;

    beforeEach(() => {
        log = RecordingEventLog.create();
        measures = 0;
        now = 0;
        const clock = { getMonotonicTime: () => now };
        account = MemoryAccount.create({ limitBytes, clock, log, collector: { review: () => undefined } });
    });

    /** Adds a holder that holds what it is told to, and lets go of all of it. */
    function addHolder(releasable = true) {
        const holder = {
            bytes: 0,
            releases: 0,
            hold: (kilobytes: number) => {
                const bytes = kilobytes * kilobyte;
                holder.bytes += bytes;
                account.note(bytes);
            },
            measure: () => {
                measures += 1;
                return { bytes: holder.bytes, releasableBytes: releasable ? holder.bytes : 0, heldSince: 0 };
            },
            release: () => {
                holder.releases += 1;
                holder.bytes = 0;
            },
        };
        account.add(holder);
        return holder;
    }

    it("releases the largest holder once the limit is reached, and logs it", () => {
        const [large, small] = [addHolder(), addHolder()];
        large.hold(700);
        small.hold(299);
        now = 50;
        assert.equal(measures, 0);
        small.hold(1);
        assert.deepEqual([large.releases, small.releases], [1, 0]);
        assert.deepEqual(log.numbers, [1750]);
        const fields = { bytes: 700 * kilobyte, milliseconds: 50, heldBytes: limitBytes, limitBytes, holders: 2 };
        assert.deepEqual(log.fields, [fields]);
    });

    it("releases nothing if what was noted is held no more", () => {
        const holder = addHolder();
        holder.hold(600);
        holder.bytes = 0;
        holder.hold(600);
        assert.equal(holder.releases, 0);
        holder.hold(399);
        assert.equal(holder.releases, 0);
        holder.hold(1);
        assert.equal(holder.releases, 1);
    });

    it("never holds much more than its limit, whatever is added, while it can be released", () => {
        const holders = Array.from({ length: 20 }, () => addHolder());
        for (let count = 0; count < 500; count += 1) {
            now += 1;
            holders[count * 7 % 20]!.hold(count * 13 % 50);
            const held = holders.reduce((sum, { bytes }) => sum + bytes, 0);
            assert.ok(held <= limitBytes, String(held));
        }
    });

    it("measures seldom while nothing can be released", () => {
        const holder = addHolder(false);
        for (let count = 0; count < 2_000; count += 1) {
            holder.hold(1);
        }
        assert.ok(measures <= 22, String(measures));
        assert.equal(holder.releases, 0);
    });

    it("forgets a holder that is removed", () => {
        const holder = addHolder();
        holder.hold(999);
        account.remove(holder);
        addHolder().hold(1);
        assert.equal(holder.releases, 0);
    });

    it("is not confused by what is noted during a release", () => {
        const first = addHolder();
        const second = addHolder();
        const { release } = first;
        first.release = () => {
            release();
            second.hold(10);
        };
        first.hold(1_000);
        assert.deepEqual([first.releases, second.releases], [1, 0]);
    });

    it("has the garbage reviewed each time that much was noted", () => {
        let reviews = 0;
        const clock = { getMonotonicTime: () => now };
        const collector = { review: () => reviews += 1 };
        account = MemoryAccount.create({ limitBytes: Infinity, clock, log, collector });
        for (let count = 0; count < 8; count += 1) {
            account.note(1024 * 1024);
        }
        assert.equal(reviews, 2);
    });
});
