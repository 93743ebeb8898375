import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { noteRefusal } from "../../../../src/request/relay/detection/noteRefusal.ts";
import { RelayBench } from "../relayBench.ts";
import { createEndpoint } from "../relayModel.ts";

function refuse(status: number, memoryPart: number) {
    const endpoint = createEndpoint("1");
    const { environment } = RelayBench.create([endpoint]);
    const avoided = noteRefusal({ environment, requestId: "r", endpoint, status, memoryPart });
    return {
        avoided,
        isSuspect: environment.health.isSuspect("1", 0),
        availableMemory: environment.loads.getAvailableMemory("1", 100, 0, 0),
    };
}

describe("noteRefusal", () => {
    it("treats a refusal by a nearly full endpoint as a lack of memory", () => {
        assert.deepEqual(refuse(503, 0.9), { avoided: [], isSuspect: false, availableMemory: 0 });
    });

    it("treats any other refusal as that of an endpoint that is leaving or down", () => {
        for (const [status, memoryPart] of [[503, 0.2], [421, 0.9]] as const) {
            const { avoided, isSuspect, availableMemory } = refuse(status, memoryPart);
            assert.deepEqual(avoided, ["1"]);
            assert.ok(isSuspect);
            assert.ok(availableMemory > 0);
        }
    });
});
