import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { KindCount } from "../../../src/process/placement/kindCount.ts";
import { searchColumns } from "../../../src/process/placement/searchColumns.ts";
import { getRequestMemory } from "../../../src/request/relay/chains/getRequestMemory.ts";
import { relayModel } from "../../request/relay/relayModel.ts";

const dataCentres = ["a", "b", "c"];

function listKinds(counts: Record<string, number[]>): KindCount[] {
    return [...relayModel.kinds.values()].map(kind => ({
        kind,
        counts: new Map((counts[kind.name] ?? []).map((count, index) => [dataCentres[index]!, count])),
    }));
}

function plan(counts: Record<string, number[]>) {
    const kinds = listKinds(counts);
    const search = searchColumns(relayModel, kinds);
    let step = search.next();
    while (step.done !== true) {
        step = search.next();
    }
    return step.value;
}

function sum(numbers: number[]): number {
    return numbers.reduce((left, right) => left + right, 0);
}

describe("searchColumns", () => {
    const fleets: Record<string, number[]>[] = [
        { fast: [1, 1, 2], middle: [3, 6, 2], slow: [8, 5, 5] },
        { fast: [2, 2, 4], middle: [9, 15, 6], slow: [22, 12, 14] },
        { fast: [0, 1, 0], middle: [3, 6, 2], slow: [8, 5, 5] },
        { middle: [3, 6, 2], slow: [8, 5, 5] },
        { fast: [4, 4, 4] },
    ];
    for (const fleet of fleets) {
        it(`covers all layers in order and leaves memory for requests: ${JSON.stringify(fleet)}`, () => {
            const columns = plan(fleet);
            let nextLayer = 0;
            for (const { layers, kind } of columns) {
                assert.equal(layers.start, nextLayer);
                assert.ok(getRequestMemory(relayModel, relayModel.kinds.get(kind)!, layers.end - layers.start) > 0);
                nextLayer = layers.end;
            }
            assert.equal(nextLayer, relayModel.layers);
        });
    }

    it("routes nextLayer most a quarter of the requests through one endpoint if there are enough of each kind", () => {
        const fleet = fleets[0]!;
        const columns = plan(fleet);
        for (const [kind, counts] of Object.entries(fleet)) {
            const columnsOfKind = columns.filter(column => column.kind === kind).length;
            assert.ok(columnsOfKind === 0 || Math.floor(sum(counts) / columnsOfKind) >= 4, kind);
        }
    });

    it("uses a fast kind that is present in every data centre", () => {
        for (const fleet of fleets.slice(0, 2)) {
            assert.ok(plan(fleet).some(({ kind }) => kind === "fast"));
        }
    });

    it("returns no columns if the weights do not fit", () => {
        assert.deepEqual(plan({ slow: [1, 1, 1] }), []);
    });

    // Guards against blocking the event loop: on a fraction of a core, an uninterrupted search takes half a second.
    it("yields often enough for the caller to pause the search", () => {
        const search = searchColumns(
            relayModel,
            listKinds({ fast: [2, 2, 4], middle: [9, 15, 6], slow: [22, 12, 14] }),
        );
        let pauses = 0;
        while (search.next().done !== true) {
            pauses += 1;
        }
        assert.ok(pauses > 5_000, String(pauses));
    });

    it("takes less than half a second for 1,200 endpoints", () => {
        const startedAt = performance.now();
        plan({ fast: [40, 40, 40], middle: [160, 160, 160], slow: [200, 200, 200] });
        assert.ok(performance.now() - startedAt < 500);
    });
});
