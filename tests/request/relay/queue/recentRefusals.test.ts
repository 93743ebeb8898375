import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RecentRefusals } from "../../../../src/request/relay/queue/recentRefusals.ts";

const refusal = { rank: 2, customer: "c", bound: "reserve", retryAfterMilliseconds: 3_000 } as const;

describe("RecentRefusals", () => {
    // Guards against a time since when that restarts with each refusal, and against refusals that are shown after they have ended.
    it("shows since when and until when a rank and customer is refused by a bound", () => {
        const refusals = RecentRefusals.create();
        refusals.note(refusal, 0);
        refusals.note({ ...refusal, retryAfterMilliseconds: 500 }, 2_000);
        refusals.note({ ...refusal, bound: "link" }, 2_500);
        const group = {
            rank: 2,
            customer: "c",
            sinceMilliseconds: 2_600,
            lastMilliseconds: 600,
            retryMilliseconds: 400,
        };
        assert.deepEqual(refusals.list(2_600), [
            { ...group, bound: "reserve", count: 2 },
            {
                ...group,
                bound: "link",
                count: 1,
                sinceMilliseconds: 100,
                lastMilliseconds: 100,
                retryMilliseconds: 2_900,
            },
        ]);
        assert.deepEqual(refusals.list(7_501), []);
        refusals.note(refusal, 8_000);
        assert.deepEqual(refusals.list(8_000).map(({ count, sinceMilliseconds }) => [count, sinceMilliseconds]), [[
            1,
            0,
        ]]);
    });

    // Guards against a status that grows with the number of customers.
    it("keeps the latest 64 groups", () => {
        const refusals = RecentRefusals.create();
        for (let index = 0; index < 100; index++) {
            refusals.note({ ...refusal, customer: `c${index}` }, index);
        }
        const customers = refusals.list(100).map(({ customer }) => customer);
        assert.deepEqual([customers.length, customers[0], customers.at(-1)], [64, "c36", "c99"]);
    });
});
