import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { events } from "../../../../src/process/logging/events.ts";
import { SilenceLog } from "../../../../src/request/relay/detection/silenceLog.ts";
import { EndpointHealth } from "../../../../src/request/relay/endpoints/endpointHealth.ts";
import { FakeClock } from "../../../support/fakeClock.ts";
import { RecordingEventLog } from "../../../support/recordingEventLog.ts";

function createLog() {
    const clock = FakeClock.create();
    const log = RecordingEventLog.create();
    const health = EndpointHealth.create();
    return { clock, log, health, silences: SilenceLog.create({ clock, health, log }) };
}

describe("SilenceLog", () => {
    it("writes how long an endpoint was silent once an event or a report has come from it", async () => {
        for (const isEvent of [true, false]) {
            const { clock, log, health, silences } = createLog();
            silences.noteSilent("a", -600);
            await clock.advance(900);
            silences.review();
            assert.deepEqual(log.numbers, []);
            if (isEvent) {
                health.markAlive("a", 900);
                silences.review();
            }
            else {
                silences.noteHeard("a");
            }
            assert.deepEqual(log.numbers, [events.endpointHeardAgain.number]);
            assert.equal(log.fields[0]!["silentMilliseconds"], 1_500);
        }
    });

    it("writes nothing of an endpoint that is never heard again", async () => {
        const { clock, log, health, silences } = createLog();
        silences.noteSilent("a", 0);
        await clock.advance(11_000);
        silences.review();
        health.markAlive("a", 11_000);
        silences.review();
        assert.deepEqual(log.numbers, []);
    });
});
