import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LinkGate } from "../../../../src/request/relay/links/linkGate.ts";
import { RecordingEventLog } from "../../../support/recordingEventLog.ts";

const expected = 200;

function createGate() {
    const changes: boolean[] = [];
    const log = RecordingEventLog.create();
    const onChange = (isClosed: boolean) => changes.push(isClosed);
    return { changes, gate: LinkGate.create({ link: { from: "a", to: "b" }, log, onChange }) };
}

describe("LinkGate", () => {
    // Guards against a queue that never clears: new prompts kept a link full, and 137 streams ended without an event.
    it("closes while a stream waits, and opens after the first event of a later one", () => {
        const { gate, changes } = createGate();
        const first = gate.add(expected, 0);
        assert.equal(gate.getState(499, expected), "open");
        assert.equal(gate.getState(501, expected), "closed");
        gate.removeUnanswered(first, 2_000);
        assert.equal(gate.getState(2_000, expected), "trial");
        const second = gate.add(expected, 2_000);
        assert.equal(gate.getWaitingCount(), 1);
        gate.removeAnswered(second, 2_200);
        assert.equal(gate.getState(2_200, expected), "open");
        assert.deepEqual(changes, [true, false]);
    });

    it("closes for a peer's waiting stream, but not for an outdated report", () => {
        const { gate } = createGate();
        gate.applyReport("peer", 1, 400, 0);
        assert.equal(gate.getState(0, expected), "open");
        gate.applyReport("peer", 2, 600, 0);
        assert.equal(gate.getState(2_999, expected), "closed");
        assert.equal(gate.getState(3_001, expected), "trial");
        gate.applyReport("peer", 2, 900, 4_000);
        assert.equal(gate.getState(4_000, expected), "closed");
        gate.applyReport("peer", 0, 0, 4_100);
        assert.equal(gate.getState(4_100, expected), "trial");
    });

    // Guards against two log lines for each event that arrives while a peer's stream waits.
    it("stays closed for a peer's waiting stream while events of its own streams arrive", () => {
        const { gate, changes } = createGate();
        const streams = [0, 1, 2].map(at => gate.add(5_000, at));
        gate.applyReport("peer", 1, 600, 100);
        for (const stream of streams) {
            assert.equal(gate.getState(200, expected), "closed");
            gate.removeAnswered(stream, 200);
        }
        assert.deepEqual(changes, [true]);
        gate.applyReport("peer", 0, 0, 300);
        assert.equal(gate.getState(300, expected), "trial");
    });

    it("stays open if a stream is lost while later ones over the same link have events", () => {
        const { gate } = createGate();
        const lost = gate.add(expected, 0);
        gate.removeAnswered(gate.add(expected, 100), 300);
        assert.equal(gate.isQueued(lost), false);
        assert.equal(gate.getState(1_000, expected), "open");
        assert.equal(gate.getLongestWait(1_000), 0);
    });
});
