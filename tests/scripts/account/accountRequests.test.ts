import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { accountGroups } from "../../../scripts/account/accountGroups.ts";
import { accountRequests } from "../../../scripts/account/accountRequests.ts";
import { drawWindows } from "../../../scripts/account/drawWindows.ts";
import { formatGroups } from "../../../scripts/account/formatGroups.ts";
import { Grouping } from "../../../scripts/account/grouping.ts";
import { readRequestEnds } from "../../../scripts/account/readRequestEnds.ts";
import type { RequestEnd } from "../../../scripts/account/requestEnd.ts";
import { events } from "../../../src/process/logging/events.ts";
import { formatEventLine } from "../../../src/process/logging/formatEventLine.ts";
import { createEndFields } from "../../../src/request/relay/createEndFields.ts";
import { RequestKind } from "../../../src/version/routing/requestKind.ts";
import { RelayBench } from "../../request/relay/relayBench.ts";

const objectives = { firstMilliseconds: 500, gapMilliseconds: 250 };
/** Changes that make a line one of a release that logs rank, customer and data centres. */
const newFields = { rank: 1, customer: "c", dataCentre: "a", dataCentres: "a,b,a", chain: "e-1=0-40,e-2=40-80" };

function createLine(changes: object): string {
    return `12.5 vm-1 ${
        JSON.stringify({
            time: "2026-01-01T00:00:10.000Z",
            event: "FL1710",
            request: "id",
            route: "r",
            outcome: "answered",
            cause: "",
            milliseconds: 2_000,
            firstEventMilliseconds: 100,
            longestGapMilliseconds: 90,
            ...changes,
        })
    }`;
}

function readLines(...lines: string[]): RequestEnd[] {
    return readRequestEnds([lines.join("\n")], objectives);
}

function getReason(changes: object): string | undefined {
    return readLines(createLine(changes))[0]?.reason;
}

describe("readRequestEnds", () => {
    it("reads the time of arrival and whether the request was answered in time, also from logs of older releases", () => {
        const old = {
            arrivedAt: Date.parse("2026-01-01T00:00:08.000Z"),
            route: "r",
            reason: "inTime",
            isRefused: false,
            retryMilliseconds: undefined,
            sentMilliseconds: undefined,
            rank: undefined,
            customer: undefined,
            dataCentre: undefined,
            dataCentres: undefined,
            kinds: undefined,
        };
        assert.deepEqual(readLines(createLine({})), [old]);
        const dataCentres = ["a", "b", "a"];
        assert.deepEqual(readLines(createLine({ ...newFields, sentMilliseconds: 7 })), [
            { ...old, rank: 1, customer: "c", dataCentre: "a", dataCentres, sentMilliseconds: 7 },
        ]);
    });

    // Guards against a field that is renamed in the log, which would leave out its table without an error.
    it("reads the fields that nodes write", () => {
        const bench = RelayBench.create([]);
        const task = { ...bench.createTask(RequestKind.Stream), customer: "c", rank: 2 };
        const end = {
            outcome: "cut",
            cause: "why",
            attemptCount: 1,
            firstSentAt: 5,
            peer: undefined,
            dataCentres: ["b"],
        };
        const fields = createEndFields(bench.environment, task, end);
        const time = new Date();
        const line = formatEventLine({ event: events.relayEnded, fields, vm: "vm-1", time, isTerminal: false });
        const [{ rank, customer, dataCentre, dataCentres, sentMilliseconds }] = readLines(line) as [RequestEnd];
        assert.deepEqual([rank, customer, dataCentre, dataCentres, sentMilliseconds], [2, "c", "a", ["b"], 5]);
    });

    it("gives the reason why a response was late or missing", () => {
        assert.equal(getReason({ firstEventMilliseconds: 501 }), "late: its beginning");
        assert.equal(getReason({ longestGapMilliseconds: 251, reroutes: 1 }), "late: a pause, moved");
        assert.equal(getReason({ outcome: "callerGone" }), "callerGone");
        assert.equal(getReason({ outcome: "cut", cause: "why" }), "cut: why");
    });

    it("ignores other lines and truncated ones", () => {
        const lines = [createLine({ event: "FL1711" }), createLine({}).slice(0, -5), "no log"];
        assert.deepEqual(readLines(...lines), []);
    });

    // Guards against counting a retry delay for a later request of the same id, or a wait for a request that was never sent.
    it("takes the retry delay from the refusal of the same request", () => {
        const refused = createLine({ outcome: "notRun", sentMilliseconds: -1 });
        const ends = readLines(createLine({ event: "FL1716", retryAfterMilliseconds: 300 }), refused, refused);
        assert.deepEqual(ends.map(({ retryMilliseconds }) => retryMilliseconds), [300, undefined]);
        assert.deepEqual(ends.map(({ isRefused }) => isRefused), [true, true]);
        assert.deepEqual(ends.map(({ sentMilliseconds }) => sentMilliseconds), [undefined, undefined]);
    });

    it("takes the kinds of endpoints from any of the logs", () => {
        const kindsById = { "e-1": "kind1", "e-2": "kind2", document: "" };
        const logs = [
            [newFields, { endpoint: "e-2" }, { endpoint: "document" }, { endpoint: "e-3" }].map(createLine).join("\n"),
            Object.entries(kindsById).map(([endpoint, kind]) => createLine({ event: "FL1810", endpoint, kind })).join(
                "\n",
            ),
        ];
        const kinds = readRequestEnds(logs, objectives).map(end => end.kinds);
        assert.deepEqual(kinds, [["kind1", "kind2"], ["kind2"], [], undefined]);
    });
});

describe("accountRequests", () => {
    const ends = [
        { arrivedAt: 5_000, route: "r", reason: "inTime" },
        { arrivedAt: 1_000, route: "r", reason: "callerGone" },
        { arrivedAt: 2_900, route: "r", reason: "inTime" },
    ];

    it("groups requests by time of arrival since the first request", () => {
        assert.deepEqual(accountRequests(ends, 2), [
            { from: 0, asked: 2, inTime: 1, lost: [["callerGone", 1]] },
            { from: 4, asked: 1, inTime: 1, lost: [] },
        ]);
        assert.equal(accountRequests(ends, Infinity).length, 1);
    });

    it("is drawn with a bar for each window", () => {
        assert.equal(drawWindows(accountRequests(ends, 2)).match(/<rect/g)?.length, 4);
    });
});

describe("accountGroups", () => {
    function getNames(grouping: Grouping, ...changes: object[]): string[] {
        const ends = readLines(...changes.map(change => createLine(change)));
        return accountGroups(ends, grouping, 2).filter(({ from }) => from === undefined).map(({ group }) => group);
    }

    it("counts over all and by window, with refusals, retry delays and waits", () => {
        const waits = Array.from(
            { length: 100 },
            (_, index) => createLine({ ...newFields, sentMilliseconds: index + 1 }),
        );
        const later = { ...newFields, time: "2026-01-01T00:00:13.000Z", outcome: "notRun", sentMilliseconds: -1 };
        const rejections = [1_000, 200, 900].flatMap((retryAfterMilliseconds, index) => [
            createLine({ event: "FL1716", request: String(index), retryAfterMilliseconds }),
            createLine({ ...later, request: String(index) }),
        ]);
        const groups = accountGroups(readLines(...waits, ...rejections), Grouping.Rank, 2);
        const sent = { median: 50, percentile99: 99 };
        const retry = { median: 900, maximum: 1_000 };
        const counts = { group: "1", asked: 103, inTime: 100, lost: [["notRun", 3]], refused: 3 };
        assert.deepEqual(groups, [
            { ...counts, from: undefined, retryMilliseconds: retry, sentMilliseconds: sent },
            {
                ...counts,
                from: 0,
                asked: 100,
                lost: [],
                refused: 0,
                retryMilliseconds: undefined,
                sentMilliseconds: sent,
            },
            { ...counts, from: 2, asked: 3, inTime: 0, retryMilliseconds: retry, sentMilliseconds: undefined },
        ]);
        assert.deepEqual(formatGroups(groups, "rank").map(row => row.slice(0, 7).join("|")).slice(1), [
            "all|1|103|100|3|900, 1000|50, 99",
            "0|1|100|100|0||50, 99",
            "2|1|3|0|3|900, 1000|",
        ]);
    });

    it("names where requests ran as seen from the data centre of their node", () => {
        const places = ["a,a", "a,b,c,b", "", "b"].map(dataCentres => ({ dataCentre: "a", dataCentres }));
        assert.deepEqual(getNames(Grouping.RunAt, ...places), ["a over b", "a over b+c", "none", "own only"]);
        assert.deepEqual(getNames(Grouping.DataCentre, ...places), ["a"]);
    });

    it("names requests without a customer, and those of which the log doesn't tell the customer", () => {
        assert.deepEqual(getNames(Grouping.Customer, {}, { customer: "" }, newFields), ["c", "none", "unknown"]);
    });

    it("leaves out tables that older logs can't fill", () => {
        for (const grouping of Object.values(Grouping)) {
            assert.deepEqual(getNames(grouping, {}, {}), [], grouping);
        }
    });

    it("merges the smallest of many groups", () => {
        const customers = Array.from({ length: 20 }, (_, index) => ({ customer: `c${index}` }));
        const names = getNames(Grouping.Customer, ...customers, ...customers.slice(8));
        assert.deepEqual(names, [...customers.slice(8).map(({ customer }) => customer), "others"]);
    });
});
