import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { LateCrashes } from "../../../../src/request/relay/quarantine/lateCrashes.ts";

const second = 1_000;

describe("LateCrashes", () => {
    let crashes: LateCrashes;
    let aliveAt: Map<string, number>;

    beforeEach(() => {
        aliveAt = new Map();
        crashes = LateCrashes.create(endpointId => aliveAt.get(endpointId) ?? -Infinity);
    });

    const add = (endpointId: string, at: number) => crashes.add({ fingerprint: "f", endpointId, at });
    const isHeld = (now: number) => crashes.getHold("f", now) !== undefined;

    it("holds a request back after three crashes at different times, and longer after a fourth", () => {
        add("a", 0);
        add("b", second);
        assert.ok(!isHeld(second));
        add("c", 2 * second);
        assert.deepEqual(crashes.getHold("f", 2 * second), {
            endpointIds: ["a", "b", "c"],
            remainingMilliseconds: 60 * second,
        });
        assert.ok(!isHeld(62 * second));
        add("d", 63 * second);
        assert.ok(isHeld(300 * second));
        assert.ok(!isHeld(700 * second));
    });

    // Guards against a sound request that is refused because it ran on several machines of a rack.
    it("takes crashes at about the same time for one", () => {
        for (const [index, endpointId] of ["a", "b", "c", "d"].entries()) {
            add(endpointId, index * 100);
        }
        add("e", 2 * second);
        assert.ok(!isHeld(2 * second));
    });

    // Guards against a popular sound request that is refused because endpoints die under it now and then.
    for (const note of ["noteCompletion", "noteCompletionAtPeer"] as const) {
        it(`clears a request by each complete answer: ${note}`, () => {
            add("a", 0);
            add("b", second);
            crashes[note]("f", second + 100);
            add("c", 2 * second);
            add("d", 3 * second);
            assert.ok(!isHeld(3 * second));
            add("e", 4 * second);
            assert.ok(isHeld(4 * second));
            crashes[note]("f", 5 * second);
            assert.ok(!isHeld(5 * second));
        });
    }

    it("forgets crashes of endpoints that turn out to be alive", () => {
        for (const [index, endpointId] of ["a", "b", "c"].entries()) {
            add(endpointId, index * second);
        }
        aliveAt.set("b", second + 400);
        assert.ok(isHeld(2 * second));
        aliveAt.set("b", second + 600);
        assert.ok(!isHeld(2 * second));
    });

    it("tells peers of its own crashes, and of those of others only if they are not single", () => {
        const list = (now: number) => crashes.listCrashes(now).map(({ endpointId }) => endpointId);
        crashes.addOfPeer({ fingerprint: "f", endpointId: "a", at: 0 }, 0);
        assert.deepEqual(list(0), []);
        add("b", second);
        assert.deepEqual(list(second), ["a", "b"]);
        assert.deepEqual(list(7 * second), []);
        add("c", 8 * second);
        assert.deepEqual(list(30 * second), ["a", "b", "c"]);
    });

    it("tells peers that suspect a request when it was last answered completely", () => {
        crashes.noteCompletion("f", second);
        assert.deepEqual(crashes.listCompletions(second), []);
        crashes.addOfPeer({ fingerprint: "f", endpointId: "a", at: 0 }, 2 * second);
        assert.deepEqual(crashes.listCompletions(2 * second), [{ key: "f", at: second }]);
        assert.deepEqual(crashes.listCrashes(2 * second), []);
    });
});
