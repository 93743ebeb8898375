import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { EndpointLossDetector } from "../../../src/process/placement/endpointLossDetector.ts";

const ids = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
const usual = { isReliable: true, peers: 20, reachingPeers: 20 };

describe("EndpointLossDetector", () => {
    let detector: EndpointLossDetector;
    let aliveAt: number;

    function getLost(now: number, situation = usual): string[] {
        detector.update(situation, now);
        return [...detector.getLostEndpoints(ids)];
    }

    beforeEach(() => {
        aliveAt = -Infinity;
        detector = EndpointLossDetector.create(() => aliveAt);
    });

    // Three endpoints crashed at 15.0 s and counted as holding their layers until their records ended at 16 to 18.4 s.
    it("finds several endpoints lost as soon as a second node has evidence, and keeps them so until their records end", () => {
        for (const endpointId of ["a", "b", "c"]) {
            assert.equal(detector.addEvidence(endpointId, 15_100), true);
        }
        assert.deepEqual(getLost(15_100), []);
        const reports = ["a", "b", "c"].map(endpointId => ({ endpointId, age: 50 }));
        detector.setPeerEvidence("peer", reports, 15_300);
        assert.deepEqual(getLost(15_300), ["a", "b", "c"]);
        detector.setPeerEvidence("peer", [], 17_000);
        assert.deepEqual(getLost(18_400), ["a", "b", "c"]);
        detector.retain(new Set(ids.slice(3)));
        assert.equal(detector.hasEvidence(), false);
        assert.deepEqual(getLost(18_400), []);
    });

    it("ignores evidence that is older than 1.5 s", () => {
        detector.addEvidence("a", 0);
        detector.setPeerEvidence("peer", [{ endpointId: "a", age: 0 }], 1_600);
        assert.deepEqual(getLost(1_600), []);
        assert.deepEqual(detector.listOwnEvidence(1_600), []);
    });

    it("ends a loss at a response, and finds it again only by later evidence", () => {
        detector.addEvidence("a", 0);
        detector.setPeerEvidence("peer", [{ endpointId: "a", age: 0 }], 10);
        assert.deepEqual(getLost(10), ["a"]);
        detector.addResponse("a", 20);
        assert.deepEqual(getLost(20), []);
        assert.deepEqual(detector.listOwnEvidence(20), []);
        detector.setPeerEvidence("peer", [{ endpointId: "a", age: 15 }], 30);
        assert.deepEqual(getLost(30), []);
        detector.addEvidence("a", 40);
        detector.setPeerEvidence("peer", [{ endpointId: "a", age: 0 }], 40);
        assert.deepEqual(getLost(40), ["a"]);
    });

    it("doesn't find an endpoint lost that has answered this node since the evidence of others", () => {
        aliveAt = 100;
        for (const nodeId of ["one", "two"]) {
            detector.setPeerEvidence(nodeId, [{ endpointId: "a", age: 100 }], 150);
        }
        assert.deepEqual(getLost(150), []);
    });

    it("ends a loss without new evidence after 6 s, in case that it was wrong", () => {
        detector.addEvidence("a", 0);
        detector.setPeerEvidence("peer", [{ endpointId: "a", age: 0 }], 0);
        assert.deepEqual(getLost(6_000), []);
        detector.setPeerEvidence("peer", [{ endpointId: "a", age: 0 }], 7_000);
        detector.addEvidence("a", 7_000);
        assert.deepEqual(getLost(7_000), ["a"]);
        assert.deepEqual(getLost(13_100), []);
        assert.equal(detector.hasEvidence(), false);
    });

    // With a third of the endpoints or more, the network of this data centre is the likelier cause.
    it("takes none of a service's endpoints for lost if more than a third seem so", () => {
        const reports = ids.slice(0, 4).map(endpointId => ({ endpointId, age: 0 }));
        detector.setPeerEvidence("one", reports, 0);
        detector.setPeerEvidence("two", reports, 0);
        assert.deepEqual(getLost(0), []);
        detector.addResponse("d", 1);
        assert.deepEqual(getLost(1), ["a", "b", "c"]);
    });

    it("takes its own evidence alone without peers after 1 s, and at once if no other node reaches endpoints", () => {
        const alone = { isReliable: true, peers: 0, reachingPeers: 0 };
        detector.addEvidence("a", 0);
        assert.deepEqual(getLost(900, alone), []);
        assert.deepEqual(getLost(1_000, alone), ["a"]);
        detector.addEvidence("b", 2_000);
        assert.deepEqual(getLost(2_000, { ...usual, reachingPeers: 0 }), ["a", "b"]);
    });

    it("doesn't count the evidence of a node that has lost its links", () => {
        detector.addEvidence("a", 0);
        detector.setPeerEvidence("peer", [{ endpointId: "a", age: 0 }], 0);
        assert.deepEqual(getLost(0, { ...usual, isReliable: false }), []);
    });
});
