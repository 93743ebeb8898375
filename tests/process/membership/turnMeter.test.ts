import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { TurnMeter } from "../../../src/process/membership/turnMeter.ts";
import { FakeClock } from "../../support/fakeClock.ts";

describe("TurnMeter", () => {
    it("counts long turns during a measurement as a whole, also the current one, and no short ones", async () => {
        const clock = FakeClock.create();
        const meter = TurnMeter.create(clock, 100);
        const measurement = meter.start();
        for (const [turnMilliseconds, total] of [[90, 0], [150, 150], [50, 150], [110, 260]] as const) {
            clock.freeze(turnMilliseconds);
            await clock.advance(0);
            assert.equal(measurement.getLongMilliseconds(), total);
        }
        clock.freeze(200);
        assert.equal(measurement.getLongMilliseconds(), 460);
        measurement.end();
        assert.equal(meter.getLongMilliseconds(), 460);
    });

    it("counts nothing while no measurement is running", async () => {
        const clock = FakeClock.create();
        const meter = TurnMeter.create(clock, 100);
        meter.start().end();
        clock.freeze(1_000);
        await clock.advance(1_000);
        meter.start();
        assert.equal(meter.getLongMilliseconds(), 0);
    });
});
