import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { RelayStage } from "../../../src/request/relay/relayStage.ts";
import { shouldBeginAnew } from "../../../src/request/relay/shouldBeginAnew.ts";
import { createEndpoint, relayModel } from "./relayModel.ts";

function createChain(...endpoints: [id: string, dataCentre: string][]): RelayStage[] {
    const size = relayModel.layers / endpoints.length;
    return endpoints.map(([id, dataCentre], index) => ({
        endpoint: createEndpoint(id, { dataCentre }),
        start: index * size,
        end: (index + 1) * size,
    }));
}

const lost = createChain(["1", "a"], ["2", "a"]);

function decide(moved: RelayStage[], anew: RelayStage[] | undefined): boolean {
    return shouldBeginAnew({ model: relayModel, contextTokens: 800, lost, moved, anew, getPipeWait: () => 0 });
}

describe("shouldBeginAnew", () => {
    /**
     * A data centre lost its only endpoint of some layers. 28 streams were moved to stages in another data centre at the same moment
     * (`FL1712`), their contexts went over one pipe, no event came any more (`FL1713`, `stalled` 0), and all callers left.
     */
    it("begins anew where the context would go to another data centre, and a chain stands together elsewhere", () => {
        assert.ok(decide(createChain(["1", "a"], ["3", "b"]), createChain(["4", "b"], ["3", "b"])));
    });

    it("moves the stream where the context stays in the data centre", () => {
        assert.ok(!decide(createChain(["1", "a"], ["3", "a"]), createChain(["4", "b"], ["5", "b"])));
    });

    it("moves the stream where another chain would cross too, or may not be used", () => {
        assert.ok(!decide(createChain(["1", "a"], ["3", "b"]), createChain(["4", "a"], ["3", "b"])));
        assert.ok(!decide(createChain(["1", "a"], ["3", "b"]), undefined));
    });

    it("moves the stream where only stages that are kept stand in another data centre", () => {
        const before = createChain(["1", "a"], ["2", "a"], ["3", "b"], ["4", "b"]);
        const moved = createChain(["1", "a"], ["5", "a"], ["3", "b"], ["4", "b"]);
        const anew = createChain(["6", "b"], ["7", "b"], ["3", "b"], ["4", "b"]);
        assert.ok(
            !shouldBeginAnew({
                model: relayModel,
                contextTokens: 800,
                lost: before,
                moved,
                anew,
                getPipeWait: () => 0,
            }),
        );
    });
});
