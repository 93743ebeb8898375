import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { createEndpointKey } from "../../../../src/request/relay/endpoints/createEndpointKey.ts";
import { EndpointEnds } from "../../../../src/request/relay/endpoints/endpointEnds.ts";
import type { RegisteredEndpoint } from "../../../../src/request/relay/endpoints/registeredEndpoint.ts";
import { toEndpointAddress } from "../../../support/toEndpointAddress.ts";
import { createEndpoint } from "../relayModel.ts";

const sentAt = 100;

function createStart(registeredId: string, address: string, incarnation: number): RegisteredEndpoint {
    const id = createEndpointKey(registeredId, incarnation);
    return { ...createEndpoint(registeredId), id, registeredId, address: toEndpointAddress(address), incarnation };
}

// Guards against requests that run on more endpoints than their route allows, because belief was taken for the proof of an end.
describe("EndpointEnds", () => {
    const endpoint = createStart("e", "10.0.0.1:80", 5);
    let ends: EndpointEnds;

    beforeEach(() => {
        ends = EndpointEnds.create();
        ends.noteStart(endpoint, 0);
    });

    const hasEnded = (isBroken = false, ran = endpoint): boolean =>
        ends.hasEnded({ endpoint: ran, isBroken, getSentTime: () => sentAt });

    it("proves no end without a refused connection or another start", () => {
        assert.ok(!hasEnded());
        assert.ok(!hasEnded(true));
    });

    it("takes a connection that a ready endpoint refuses after the request was sent for its end", () => {
        ends.noteRefusal(endpoint.address, true, sentAt - 1);
        assert.ok(!hasEnded());
        ends.noteRefusal(endpoint.address, true, sentAt + 1);
        assert.ok(hasEnded());
        ends.noteRefusal(endpoint.address, false, sentAt + 2);
        assert.ok(hasEnded());
    });

    it("takes a connection that a leaving endpoint refuses for its end only once the connection of the run is closed", () => {
        ends.noteRefusal(endpoint.address, false, sentAt + 1);
        assert.ok(!hasEnded());
        assert.ok(hasEnded(true));
    });

    for (const later of [createStart("e", "10.0.0.2:80", 6), createStart("f", endpoint.address, 6)]) {
        it(`takes a later start of ${later.registeredId} at ${later.address} for its end`, () => {
            ends.noteStart(later, sentAt + 1);
            assert.ok(hasEnded());
        });

        it(`ignores an earlier start of ${later.registeredId} at ${later.address}, and one that was known before the request was sent`, () => {
            ends.noteStart({ ...later, incarnation: 4 }, sentAt + 1);
            assert.ok(!hasEnded());
            ends.noteStart(later, sentAt - 1);
            ends.noteStart(later, sentAt + 1);
            assert.ok(!hasEnded());
        });
    }

    it("proves no end of an endpoint whose start is unknown by another start", () => {
        const unknown = createStart("u", "10.0.0.3:80", 0);
        ends.noteStart(createStart("v", unknown.address, 7), sentAt + 1);
        assert.ok(!hasEnded(false, unknown));
    });
});
