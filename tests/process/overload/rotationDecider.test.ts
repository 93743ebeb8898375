import assert from "node:assert/strict";
import { before, describe, it } from "node:test";
import { RendezvousOwners } from "../../../src/process/membership/rendezvousOwners.ts";
import { RotationDecider } from "../../../src/process/overload/rotationDecider.ts";

const stepMilliseconds = 100;

describe("RotationDecider", () => {
    let owners: RendezvousOwners;
    before(async () => owners = await RendezvousOwners.create());

    /** Runs the nodes of a data centre that see each other's state of the step before. Returns which are out at each step. */
    function run(count: number, duration: number, isLate: (index: number, now: number) => boolean): string[][] {
        const ids = Array.from({ length: count }, (_item, index) => `node-${index}`);
        const deciders = ids.map(() => RotationDecider.create(owners, 0));
        const history: string[][] = [];
        for (let now = 0; now < duration; now += stepMilliseconds) {
            const before = history.at(-1) ?? [];
            const states = ids.map((nodeId, index) => ({
                nodeId,
                isOutOrLate: before.includes(nodeId) || isLate(index, now - stepMilliseconds),
            }));
            history.push(ids.filter((nodeId, index) =>
                deciders[index]!.decide({
                    dataCentre: "a",
                    nodeId,
                    isLate: isLate(index, now),
                    others: states.filter(state => state.nodeId !== nodeId),
                    now,
                })
            ));
        }
        return history;
    }

    it("keeps three quarters of a data centre in rotation, also if all nodes are late at once", () => {
        for (const [count, spared] of [[3, 0], [4, 1], [7, 1], [30, 7]] as const) {
            const history = run(count, 120_000, (_index, now) => now >= 60_000);
            // Nodes whose lateness isn't known to the others yet may leave together in the first step.
            assert.ok(history.slice(60_000 / stepMilliseconds + 1).every(out => out.length <= spared));
            assert.equal(history.some(out => out.length === spared), true);
        }
    });

    it("keeps a node that is always late in rotation for seven eighths of the time", () => {
        const history = run(8, 600_000, index => index === 0);
        const out = history.filter(ids => ids.includes("node-0")).length;
        assert.ok(out / history.length <= 1 / 8);
        assert.ok(out / history.length > 1 / 10);
    });

    it("doesn't leave for less time than the load balancer takes to notice", () => {
        const history = run(8, 600_000, index => index === 0);
        let length = 0;
        for (const ids of history) {
            assert.ok(ids.length > 0 || length === 0 || length * stepMilliseconds >= 2_900);
            length = ids.length > 0 ? length + 1 : 0;
        }
    });

    it("keeps a node on time in rotation", () => {
        assert.ok(run(8, 60_000, () => false).every(ids => ids.length === 0));
    });
});
