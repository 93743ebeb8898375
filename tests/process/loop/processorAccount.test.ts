import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { ProcessorAccount } from "../../../src/process/loop/processorAccount.ts";
import { ProcessorAccountReporter } from "../../../src/process/loop/processorAccountReporter.ts";
import { ProcessorCause } from "../../../src/process/loop/processorCause.ts";
import { Metrics } from "../../../src/process/metrics/metrics.ts";

describe("ProcessorAccount", () => {
    let now: number;
    let account: ProcessorAccount;

    beforeEach(() => {
        now = 0;
        account = ProcessorAccount.create();
        account.enable(() => now);
    });

    function spend(milliseconds: number): void {
        now += milliseconds;
    }

    // Guards against counting nested work twice.
    it("subtracts the time of inner causes from the outer one, also after an exception", () => {
        assert.throws(() =>
            account.run(ProcessorCause.Timer, () => {
                spend(3);
                account.run(ProcessorCause.LogLine, () => spend(5));
                account.runPart(ProcessorCause.LogLine, () => spend(1));
                throw new Error("failed");
            })
        );
        account.run(ProcessorCause.Timer, () => spend(2));
        assert.deepEqual(Object.fromEntries(account.getEntries()), {
            timer: { count: 2, milliseconds: 5 },
            logLine: { count: 1, milliseconds: 6 },
        });
    });

    // Guards against refusals that are accounted for as served requests.
    it("attributes work to the cause that is known at its end", () => {
        account.run(ProcessorCause.StreamHead, () => {
            spend(4);
            assert.equal(account.reassign(ProcessorCause.StreamHead, ProcessorCause.Refusal), true);
        });
        assert.equal(account.reassign(ProcessorCause.StreamHead, ProcessorCause.Refusal), false);
        assert.deepEqual(account.getEntries().get(ProcessorCause.Refusal), { count: 1, milliseconds: 4 });
        assert.deepEqual(account.getEntries().get(ProcessorCause.StreamHead), { count: 0, milliseconds: 0 });
    });

    // Guards against a cost of the account on nodes that do not call for it.
    it("reads no clock and keeps nothing while it is disabled", () => {
        const disabled = ProcessorAccount.create();
        assert.equal(disabled.run(ProcessorCause.Timer, () => 7), 7);
        assert.equal(disabled.runPart(ProcessorCause.Timer, () => 8), 8);
        disabled.count(ProcessorCause.Timer);
        disabled.add(ProcessorCause.Start, 1);
        assert.equal(disabled.reassign(ProcessorCause.Timer, ProcessorCause.Refusal), false);
        assert.equal(disabled.getEntries().size, 0);
    });

    // Guards against totals in place of differences, which would add up wrongly over several lines.
    it("reports what was added since the last report", async () => {
        const metrics = Metrics.create();
        const lines: unknown[] = [];
        const clock = { getMonotonicTime: () => now, getWallTime: () => now, setTimer: () => ({ cancel() {} }) };
        const log = { write: (_event: unknown, fields: unknown) => lines.push(fields) };
        const reporter = ProcessorAccountReporter.create({
            account,
            clock,
            log,
            metrics,
            getProcessorTime: () => now * 2,
        });
        account.run(ProcessorCause.Store, () => spend(2));
        reporter.report();
        account.run(ProcessorCause.Store, () => spend(0.5));
        account.run(ProcessorCause.Store, () => spend(1));
        reporter.report();
        assert.deepEqual(lines, [
            { milliseconds: 2, processorMilliseconds: 4, storeCount: 1, storeMicroseconds: 2_000 },
            { milliseconds: 2, processorMilliseconds: 3, storeCount: 2, storeMicroseconds: 1_500 },
        ]);
        const text = await metrics.registry.metrics();
        assert.match(text, /^foxlead_processor_account_total\{cause="store"\} 3$/m);
        assert.match(text, /^foxlead_processor_account_seconds_total\{cause="store"\} 0.0035$/m);
    });
});
