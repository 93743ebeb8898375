import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { PendingPass } from "../../../src/connection/endpoint/pendingPass.ts";
import { PrefillWindow } from "../../../src/connection/endpoint/prefillWindow.ts";

describe("PrefillWindow", () => {
    function createPass(request: string, positions: number, rebuild = false): PendingPass {
        return {
            pass: {
                id: 1,
                request,
                attempt: 1,
                model: "m",
                position: 0,
                layerStart: 0,
                layerEnd: 4,
                priority: 0,
                rebuild,
            },
            positions,
            sentAt: [],
            mayHaveArrived: false,
            isBeingProbed: false,
            settle: () => undefined,
            cancelTimer: () => undefined,
        };
    }

    function takeNames(window: PrefillWindow): string[] {
        return window.takeReady().map(pendingPass => pendingPass.pass.request);
    }

    it("sends passes while their positions fit, and further ones when those are settled", () => {
        const window = PrefillWindow.create(100);
        const [first, second, third] = [createPass("a", 60), createPass("b", 40), createPass("c", 1_000)];
        window.add(first);
        window.add(second);
        window.add(third);
        assert.deepEqual(takeNames(window), ["a", "b"]);
        window.remove(first);
        assert.deepEqual(takeNames(window), []);
        window.remove(second);
        assert.deepEqual(takeNames(window), ["c"], "A pass that is longer than the window is sent alone.");
    });

    it("sends rebuilt contexts before new prompts, each in the order of arrival", () => {
        const window = PrefillWindow.create(1);
        const first = createPass("a", 9);
        window.add(first);
        assert.deepEqual(takeNames(window), ["a"]);
        for (const pass of [createPass("b", 9), createPass("c", 9, true), createPass("d", 9, true)]) {
            window.add(pass);
        }
        window.remove(first);
        assert.deepEqual(takeNames(window), ["c"]);
    });

    it("removes a pass that is settled before it is sent, and frees positions only once", () => {
        const window = PrefillWindow.create(1);
        const [first, second, third] = [createPass("a", 9), createPass("b", 9), createPass("c", 9)];
        window.add(first);
        window.add(second);
        assert.deepEqual(takeNames(window), ["a"]);
        window.remove(second);
        window.add(third);
        assert.deepEqual(takeNames(window), []);
        window.remove(first);
        window.remove(first);
        assert.deepEqual(takeNames(window), ["c"]);
        window.add(createPass("d", 9));
        assert.deepEqual(takeNames(window), []);
    });
});
