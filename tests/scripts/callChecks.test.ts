import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { FaultTimeline } from "../../scripts/soak/faultTimeline.ts";
import { LogTail } from "../../scripts/soak/logTail.ts";
import { CallChecks } from "../../scripts/soak/router/callChecks.ts";
import type { CallRecord } from "../../scripts/soak/router/callRecord.ts";
import type { RouterDeployment } from "../../scripts/soak/router/routerDeployment.ts";
import { Violations } from "../../scripts/soak/violations.ts";
import type { ArrivalRecord } from "../../standins/router/arrivalRecord.ts";

type Run = ReturnType<RouterDeployment["endpoints"][number]["history"]["getRuns"]>[number];

const leftAt = 1_000;
const stream = Array.from({ length: 20 }, (_, index) => `id: ${index + 1}\ndata: x\n\n`).join("");

describe("CallChecks", () => {
    let runs: Run[];
    let arrivals: ArrivalRecord[];
    let timeline: FaultTimeline;
    let violations: Violations;
    let checks: CallChecks;

    beforeEach(() => {
        runs = [];
        arrivals = [];
        timeline = FaultTimeline.create();
        violations = Violations.create(timeline, LogTail.create(), () => undefined);
        const history = {
            getRuns: () => runs,
            getArrivals: () => [{ endpointId: "e", arrivals }],
            getLeavingSince: (id: string) => id === "leaving" ? leftAt : undefined,
            getDeletedAt: (id: string) => id === "deleted" ? leftAt : undefined,
        };
        const endpoints = [{ history }];
        checks = CallChecks.create({ deployment: { endpoints } as never, timeline, violations });
    });

    function createRecord(changes: Partial<CallRecord> = {}): CallRecord {
        return {
            id: "call-1",
            kind: "unsafe",
            method: "POST",
            path: "/unsafe/call-1",
            body: "body",
            customer: "first",
            node: "node-0",
            sentAt: 900,
            endedAt: 1_000,
            leftAt: undefined,
            status: 200,
            signature: "seal-e",
            text: "answer of e",
            isComplete: true,
            reason: "",
            ...changes,
        };
    }

    function createRun(changes: Partial<Run> = {}): Run {
        return {
            id: "call-1",
            method: "POST",
            url: "/unsafe/call-1",
            headers: { tenant: "first" },
            body: "body",
            arrivedAt: 950,
            isAbandoned: false,
            port: undefined,
            endpointId: "e",
            ...changes,
        };
    }

    function check(record: CallRecord, ...itsRuns: Run[]): string[] {
        runs = itsRuns;
        checks.checkAnswer(record);
        checks.checkRuns();
        return violations.getAll().map(({ kind }) => kind);
    }

    it("accepts a correct response, a complete stream and a justified refusal", () => {
        assert.deepEqual(check(createRecord(), createRun()), []);
        const complete = createRecord({ id: "call-2", kind: "model", text: stream, path: "/model/x" });
        assert.deepEqual(check(complete, createRun({ id: "call-2", url: "/model/x" })), []);
        const refused = createRecord({ id: "call-3", status: 503, signature: undefined, text: "" });
        assert.deepEqual(check(refused), []);
    });

    it("detects responses that are mixed up, unsigned or modified, and rejected valid requests", () => {
        assert.deepEqual(check(createRecord({ text: "answer of another" }), createRun()), ["mixedUp"]);
        assert.deepEqual(check(createRecord({ signature: undefined }), createRun()).at(-1), "unsigned");
        assert.deepEqual(check(createRecord({ status: 502 }), createRun()).at(-1), "statusChanged");
        assert.deepEqual(check(createRecord({ status: 404, signature: undefined })).at(-1), "denied");
    });

    it("detects missing or duplicate events", () => {
        const record = createRecord({ kind: "once", text: stream.replace("id: 5", "id: 6") });
        assert.deepEqual(check(record, createRun()), ["events"]);
        const short = createRecord({ kind: "once", text: stream.slice(0, stream.indexOf("id: 20")) });
        assert.deepEqual(check(short, createRun()), ["events", "events"]);
    });

    it("detects requests that ran twice, after a refusal, without a caller or modified", () => {
        assert.deepEqual(check(createRecord(), createRun(), createRun()), ["twice"]);
        assert.deepEqual(check(createRecord({ status: 503, signature: undefined }), createRun()).at(-1), "refused");
        assert.deepEqual(check(createRecord(), createRun(), createRun({ id: "other" })).at(-1), "unasked");
        assert.deepEqual(check(createRecord(), createRun({ body: "other" })).at(-1), "changed");
    });

    it("detects chains that omit a layer or run one twice", () => {
        const createStages = (stages: string) => createRun({ headers: { tenant: "first", "hop-count": stages } });
        assert.deepEqual(check(createRecord(), createStages("a:1=0-4,b:1=4-8")), []);
        assert.deepEqual(check(createRecord(), createStages("a:1=0-4,b:1=5-8")), ["layers"]);
        assert.deepEqual(check(createRecord(), createStages("a:1=0-5,b:1=4-8")).length, 2);
        assert.deepEqual(check(createRecord(), createStages("a:1=0-4")).length, 3);
    });

    it("detects requests that reach an endpoint after its drain period, except during faults of the node", () => {
        const late = createRun({ endpointId: "leaving", arrivedAt: leftAt + 2_600 });
        assert.deepEqual(check(createRecord(), late), ["drain"]);
        const fault = timeline.start("nodeFreeze", "node-0");
        fault.from = leftAt;
        fault.to = leftAt + 1_000;
        assert.deepEqual(check(createRecord(), late), ["drain"]);
    });

    it("detects requests that reach an endpoint after its record was deleted, also at a node that started then", () => {
        assert.deepEqual(check(createRecord(), createRun({ endpointId: "deleted", arrivedAt: leftAt + 2_400 })), []);
        const late = createRun({ endpointId: "deleted", arrivedAt: leftAt + 2_600 });
        const start = timeline.start("nodeStartAtDeletion", "node-0");
        start.from = leftAt - 500;
        start.to = leftAt + 4_000;
        assert.deepEqual(check(createRecord(), late), ["drain"]);
        const freeze = timeline.start("nodeFreeze", "node-0");
        freeze.from = leftAt;
        freeze.to = leftAt + 500;
        assert.deepEqual(check(createRecord(), late), ["drain"]);
    });

    it("detects that the last rank is admitted while the first is refused for longer than 3 s", () => {
        const text = JSON.stringify({ error: "It would wait too long for capacity." });
        const refusal = { status: 503, signature: undefined, text };
        const send = (kind: "model" | "last", sentAt: number, changes: Partial<CallRecord>, isAdmitted: boolean) => {
            const id = `${kind}-${sentAt}`;
            const path = `/${kind}/${id}`;
            checks.checkAnswer(createRecord({ id, kind, path, sentAt, endedAt: sentAt + 10, ...changes }));
            if (isAdmitted) {
                runs.push(createRun({ id, url: path, arrivedAt: sentAt }));
            }
        };
        const countRanks = () => {
            checks.checkRuns();
            return violations.getAll().filter(({ kind }) => kind === "ranks").length;
        };
        for (let at = 10_000; at < 16_000; at += 500) {
            send("model", at, refusal, false);
        }
        send("last", 12_900, { text: stream }, true);
        send("last", 14_000, { text: stream }, true);
        assert.equal(countRanks(), 0);
        send("last", 14_500, { text: stream }, true);
        assert.equal(countRanks(), 1);
        const silent = timeline.start("nodeLinksSilent", "node-0");
        silent.from = 13_000;
        silent.to = 14_600;
        assert.equal(countRanks(), 1);
    });

    it("detects requests forwarded after their callers disconnected, except during faults of the node or the endpoint", () => {
        const leave = (count: number, arrivedAt: number) => {
            runs = [];
            for (let index = 0; index < count; index++) {
                const id = `left-${index}`;
                const path = `/unsafe/${id}`;
                const left = { status: 0, signature: undefined, isComplete: false, endedAt: 5_000, leftAt: 5_000 };
                checks.checkAnswer(createRecord({ id, path, sentAt: 4_500, ...left }));
                runs.push(createRun({ id, url: path, arrivedAt, endpointId: "e-0" }));
            }
            checks.checkRuns();
            return violations.getAll().filter(({ kind }) => kind === "gone").length;
        };
        assert.equal(leave(4, 5_600), 0);
        assert.equal(leave(3, 5_800), 0);
        const delay = timeline.start("endpointDelay", "e");
        delay.from = 5_100;
        delay.to = 5_700;
        assert.equal(leave(4, 5_800), 0);
        delay.target = "f";
        assert.equal(leave(4, 5_800), 1);
    });

    it("detects endpoints that receive more requests than their rate limit allows once it has settled", () => {
        const limit = timeline.start("endpointLimits", "e");
        limit.from = 10_000;
        limit.to = 20_000;
        const send = (count: number, from: number) => {
            for (let index = 0; index < count; index++) {
                const id = `${from}-${index}`;
                const path = `/unsafe/${id}`;
                checks.checkAnswer(createRecord({ id, path }));
                runs.push(createRun({ id, url: path, arrivedAt: from + index, endpointId: "e-0" }));
            }
            checks.checkRuns();
            return violations.getAll().map(({ kind }) => kind);
        };
        assert.deepEqual(send(30, 10_500), []);
        assert.deepEqual(send(8, 15_000), []);
        assert.deepEqual(send(1, 18_900), ["limit"]);
    });

    it("detects requests that take too long", () => {
        const held = createRecord({ status: 504, signature: undefined, endedAt: 900 + 4_600 });
        assert.deepEqual(check(held, createRun()), ["held"]);
    });

    it("detects requests that a planned stop interrupted", () => {
        const stop = timeline.start("nodeStop", "node-0");
        stop.from = 900;
        stop.to = 1_000;
        assert.deepEqual(check(createRecord({ isComplete: false, status: 0, signature: undefined }), createRun()), [
            "lost",
        ]);
    });

    it("detects requests interrupted without a fault and accepts those interrupted during a fault", () => {
        const cut = createRecord({ isComplete: false, status: 0, signature: undefined });
        assert.deepEqual(check(cut, createRun()), ["lost"]);
        const kill = timeline.start("nodeKill", "node-0");
        kill.from = 900;
        kill.to = 1_000;
        assert.deepEqual(check(cut, createRun()), ["lost"]);
    });

    it("detects requests without a run whose connection ended later than they could cross its end, also beside a change", () => {
        const changed = timeline.start("configurationChange", "store");
        Object.assign(changed, { from: 900, to: 1_000 });
        const cut = { isComplete: false, status: 0, signature: undefined, reason: "SocketError: other side closed" };
        const checkWithoutRun = (changes: Partial<CallRecord>) => {
            checks.checkAnswer(createRecord({ ...cut, ...changes }));
            checks.checkRuns();
            return violations.getAll().map(({ kind }) => kind);
        };
        assert.deepEqual(checkWithoutRun({ endedAt: 1_100 }), []);
        assert.deepEqual(checkWithoutRun({ endedAt: 1_300, reason: "Error: connect ECONNREFUSED" }), []);
        assert.deepEqual(checkWithoutRun({ endedAt: 1_300 }), ["lost"]);
    });

    it("detects a long stream that ended without an answer, and accepts one that has begun", () => {
        const long = createRecord({ path: "/long/1", endedAt: 8_900, isComplete: false, status: 0 });
        const run = createRun({ url: "/long/1" });
        assert.ok(!check({ ...long, status: 200 }, run).includes("lost"));
        assert.ok(check(long, run).includes("lost"));
    });

    it("detects a request that is still forwarded after it crashed three endpoints", () => {
        const send = (arrivedAt: number, endpointId: string) => {
            const id = `harmful-${arrivedAt}`;
            const path = "/model/harmful";
            checks.checkAnswer(
                createRecord({ id, kind: "model", path, body: "harmful", status: 502, signature: undefined }),
            );
            runs.push(createRun({ id, url: path, body: "harmful", arrivedAt, endpointId }));
        };
        for (const [index, at] of [1_000, 1_500, 2_000, 2_500, 7_000, 7_500, 8_000].entries()) {
            send(at, `e${index}`);
        }
        checks.checkRuns();
        assert.deepEqual(violations.getAll(), []);
        send(8_500, "e9");
        checks.checkRuns();
        assert.deepEqual(violations.getAll().map(({ kind }) => kind), ["harmful"]);
    });

    function createArrival(arrivedAt: number, changes: Partial<ArrivalRecord> = {}): ArrivalRecord {
        const requestId = `call-${arrivedAt}`;
        checks.checkAnswer(createRecord({ id: requestId, sentAt: arrivedAt, endedAt: arrivedAt }));
        return { requestId, arrivedAt, pauseEndsAt: undefined, isLeavingAnnounced: false, ...changes };
    }

    const countInstructions = () => violations.getAll().filter(({ kind }) => kind === "instruction").length;

    it("reports the third request in a pause, but not the first two, nor any within half a second", () => {
        arrivals = [
            createArrival(1_000, { pauseEndsAt: 3_000 }),
            ...[1_400, 1_600, 2_000].map(at => createArrival(at)),
        ];
        checks.checkRuns();
        assert.equal(countInstructions(), 0);
        arrivals.push(createArrival(2_500), createArrival(3_500));
        checks.checkRuns();
        assert.equal(countInstructions(), 1);
    });

    it("reports a request that was sent after the drain time of an announced leaving", () => {
        arrivals = [createArrival(1_000, { isLeavingAnnounced: true }), createArrival(2_900)];
        checks.checkRuns();
        assert.equal(countInstructions(), 0);
        arrivals.push(createArrival(3_100));
        checks.checkRuns();
        assert.equal(countInstructions(), 1);
    });
});
