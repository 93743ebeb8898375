import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { findConvicted } from "../../../../src/request/relay/quarantine/findConvicted.ts";
import { judgeSuspect } from "../../../../src/request/relay/quarantine/judgeSuspect.ts";
import { mayExplainOthers } from "../../../../src/request/relay/quarantine/mayExplainOthers.ts";
import type { Suspect } from "../../../../src/request/relay/quarantine/suspect.ts";

const now = 10_000;

/** Creates a suspect. Crashes under a canary are marked with "!", those of the last moments with "~", and those of reachable endpoints with "?". */
function createSuspect(key: string, endpoints: string, options: Partial<Suspect> = {}): Suspect {
    const crashes = new Map(
        endpoints.split(" ").filter(id => id !== "").map(id => [
            id.replace(/[!~?]/g, ""),
            {
                at: id.includes("~") ? now - 100 : now - 1_000,
                isDown: !id.includes("?"),
                isCanary: id.includes("!"),
                isConfirmed: false,
                isSudden: false,
            },
        ]),
    );
    return { key, isPart: true, wasAnswered: false, crashes, coincidences: new Map(), ...options };
}

const request = { isPart: false };
const answered = { wasAnswered: true };

describe("judgeSuspect", () => {
    function doTest(expected: string, suspect: Suspect, ...others: Suspect[]): void {
        assert.equal(judgeSuspect(suspect, [...others, suspect], now), expected);
    }

    it("holds back a part from its second crash on, and convicts it by the crash of a canary only", () => {
        doTest("free", createSuspect("part", "1"));
        doTest("unsure", createSuspect("part", "1 2"));
        doTest("unsure", createSuspect("part", "1 2 3 4"));
        doTest("certain", createSuspect("part", "1 2 3!"));
        doTest("certain", createSuspect("part", "1 2 3!", answered));
    });

    it("holds back a whole request from its second crash on, and convicts it at the third", () => {
        doTest("unsure", createSuspect("request", "1 2", request));
        doTest("certain", createSuspect("request", "1 2 3", request));
    });

    it("doesn't hold back a part that was answered before if one that never was is there at nearly all of its crashes", () => {
        doTest("free", createSuspect("popular", "1 2 3", answered), createSuspect("harmful", "1 2 3"));
        doTest("free", createSuspect("popular", "1 2 3 9", answered), createSuspect("harmful", "1 2 3"));
        doTest("unsure", createSuspect("popular", "1 2 3 8 9", answered), createSuspect("harmful", "1 2 3"));
    });

    it("doesn't take a single request or a rare part for the cause of all crashes of a part", () => {
        const others = [
            createSuspect("first", "1 2", request),
            createSuspect("second", "3 4", request),
            createSuspect("rare", "1 2"),
        ];
        doTest("unsure", createSuspect("harmful", "1 2 3 4", answered), ...others);
        doTest("unsure", createSuspect("new", "1 2 3 4"), ...others);
    });

    it("holds back a new part unless a likelier one was at all of its crashes", () => {
        doTest("free", createSuspect("rare", "1 2"), createSuspect("harmful", "1 2 3"));
        doTest("unsure", createSuspect("rare", "1 9"), createSuspect("harmful", "1 2 3"));
        doTest("unsure", createSuspect("rare", "1 2"), createSuspect("harmful", "1 2"));
        doTest("unsure", createSuspect("new", "1 2"), createSuspect("popular", "1 2 3", answered));
    });

    it("takes a convicted part for the cause of each crash that it was at", () => {
        const harmful = createSuspect("harmful", "1 2 3! 4 5 6 7", answered);
        doTest("free", createSuspect("popular", "1 2 4 5 9", answered), harmful);
        doTest("free", createSuspect("rare", "4 5"), harmful);
        doTest("free", createSuspect("request", "4 5", request), harmful);
        doTest("unsure", createSuspect("popular", "1 2 8 9", answered), harmful);
    });

    // Guards against convicting a popular part because a request with the harmful part was on the same endpoint as its canary, or was its
    // canary itself: all requests with the popular part were refused then.
    it("doesn't convict a part that was answered before by a crash to which another one may point as well", () => {
        const ownCanary = createSuspect("popular", "1 2 3!", answered);
        doTest("unsure", ownCanary, createSuspect("harmful", "1 2 3", answered));
        doTest("unsure", ownCanary, createSuspect("harmful", "3! 8 9", answered));
        doTest("unsure", ownCanary, createSuspect("harmful", "3!", answered));
        doTest("certain", ownCanary, createSuspect("rare", "3", answered), createSuspect("request", "2 3", request));
        doTest("certain", createSuspect("harmful", "1 2 3!"), createSuspect("popular", "1 2 3! 4", answered));
        doTest("unsure", createSuspect("new", "3! 4"), createSuspect("harmful", "1 2 3!"));
    });

    it("waits for signs of life and for answers before a crash counts against a part that was answered before", () => {
        doTest("free", createSuspect("popular", "1~ 2~ 3", answered));
        doTest("unsure", createSuspect("popular", "1~ 2 3", answered));
        doTest("unsure", createSuspect("new", "1~ 2~"));
    });

    it("doesn't wait while one endpoint crashes after the other", () => {
        doTest("unsure", createSuspect("popular", "1~ 2~ 3~ 4", answered));
        doTest("free", createSuspect("popular", "1~ 2~ 3~ 4~ 5~ 6~", answered));
        doTest("free", createSuspect("popular", "1~? 2~? 3~? 4?", answered));
    });

    it("doesn't convict a part by a canary's crash that a whole request explains which crashed several endpoints", () => {
        doTest("unsure", createSuspect("part", "8 9 3!"), createSuspect("request", "1 2 3", request));
        doTest("unsure", createSuspect("part", "8 9 3!", answered), createSuspect("request", "1 2 3", request));
    });

    it("convicts a part by a canary's crash if a request crashed several endpoints, all of them with the part", () => {
        doTest("certain", createSuspect("part", "1 2 3!"), createSuspect("request", "1 2 3", request));
        doTest("certain", createSuspect("part", "1 2 3! 4", answered), createSuspect("request", "1 2 3", request));
    });

    it("comes to the same verdicts with those suspects only that may explain others", () => {
        const suspects = ["", "1", "1 2", "1 2 3", "1 2 3!", "2 3 4", "1 2 3 4 5!"].flatMap(endpoints => [
            createSuspect("new", endpoints),
            createSuspect("answered", endpoints, answered),
            createSuspect("request", endpoints.replace("!", ""), request),
        ]);
        for (const first of suspects) {
            for (const second of suspects) {
                const others = [first, second];
                for (const suspect of suspects) {
                    const all = [...others, suspect];
                    const convicted = findConvicted(all);
                    const explaining = all.filter(other => mayExplainOthers(other, convicted));
                    assert.equal(judgeSuspect(suspect, explaining, now, convicted), judgeSuspect(suspect, all, now));
                }
            }
        }
    });
});
