import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { FaultTimeline } from "../../scripts/soak/faultTimeline.ts";
import { LogTail } from "../../scripts/soak/logTail.ts";
import type { CallRecord } from "../../scripts/soak/router/callRecord.ts";
import { CallViolations } from "../../scripts/soak/router/callViolations.ts";
import { checkPromptSeries } from "../../scripts/soak/router/checkPromptSeries.ts";
import type { EndpointRun } from "../../scripts/soak/router/endpointRun.ts";
import { RouterFaults } from "../../scripts/soak/router/routerFaults.ts";
import { Violations } from "../../scripts/soak/violations.ts";

const firstCrashAt = 20_000;
const fifthCrashAt = 24_000;

describe("checkPromptSeries", () => {
    let records: Map<string, CallRecord>;
    let runs: EndpointRun[];
    let timeline: FaultTimeline;

    beforeEach(() => {
        records = new Map();
        runs = [];
        timeline = FaultTimeline.create();
        sendSound(firstCrashAt - 5_000, 20);
        for (let crash = 0; crash < 5; crash++) {
            sendHarmful(firstCrashAt + 1_000 * crash);
        }
    });

    function add(id: string, isHarmful: boolean, sentAt: number, status = 200): void {
        const role = { series: "part-1", isHarmful, prefix: "a:1,b:1" };
        records.set(id, {
            ...{ id, kind: "prompt", node: "node-0", sentAt, endedAt: sentAt + 10, status, isComplete: true, role },
        } as CallRecord);
    }

    /** Sends a harmful request that reaches and ends an endpoint. */
    function sendHarmful(at: number): void {
        const id = `harmful-${at}`;
        add(id, true, at, 502);
        runs.push({ id, endpointId: `e-${at}`, arrivedAt: at } as EndpointRun);
    }

    function sendSound(from: number, count: number, served = count): void {
        for (let index = 0; index < count; index++) {
            add(`sound-${from}-${index}`, false, from + index, index < served ? 200 : 503);
        }
    }

    function check(): string[] {
        const violations = Violations.create(timeline, LogTail.create(), () => undefined);
        const getEndedAt = (id: string) => Number(id.slice("e-".length));
        checkPromptSeries(runs, {
            endpoints: [{ history: { getEndedAt } }] as never,
            faults: RouterFaults.create(timeline),
            violations: CallViolations.create(violations),
            records,
        });
        return violations.getAll().map(({ kind }) => kind);
    }

    it("detects the fourth request that is forwarded later than the settle window after the fifth crash", () => {
        for (const milliseconds of [2_900, 3_100, 3_200, 3_300]) {
            sendHarmful(fifthCrashAt + milliseconds);
        }
        assert.deepEqual(check(), []);
        sendHarmful(fifthCrashAt + 9_000);
        assert.deepEqual(check(), ["partForwarded"]);
        Object.assign(timeline.start("nodeKill", "node-0"), { from: fifthCrashAt + 8_000, to: fifthCrashAt + 8_500 });
        assert.deepEqual(check(), []);
    });

    it("detects that sound requests are served less than half as often after twice the settle window", () => {
        sendSound(fifthCrashAt + 5_000, 20, 0);
        sendSound(fifthCrashAt + 6_100, 20, 10);
        assert.deepEqual(check(), []);
        sendSound(fifthCrashAt + 7_000, 2, 0);
        assert.deepEqual(check(), ["partRefused"]);
        Object.assign(timeline.start("storeSilent", "store"), { from: fifthCrashAt + 6_000, to: fifthCrashAt + 6_500 });
        assert.deepEqual(check(), []);
    });

    it("counts from the last crash where there are fewer than five, and judges no small numbers", () => {
        runs = runs.slice(0, 2);
        const lastCrashAt = firstCrashAt + 1_000;
        sendSound(lastCrashAt + 5_000, 40, 0);
        sendSound(lastCrashAt + 6_100, 19, 0);
        assert.deepEqual(check(), []);
        sendSound(lastCrashAt + 7_000, 1, 0);
        assert.deepEqual(check(), ["partRefused"]);
    });
});
