import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { bodyBoundsOfUse } from "../../../src/connection/upstream/bodyBoundsOfUse.ts";
import { ResponseBounds } from "../../../src/connection/upstream/responseBounds.ts";

const bytesBefore = 1_000;
const second = 1_000;

// Guards against responses that fill the memory of a node or keep a request waiting, and against ending sound ones for it.
describe("ResponseBounds", () => {
    it("allows a long stream in small chunks, however long it takes", () => {
        const bounds = ResponseBounds.create(bytesBefore);
        bounds.noteArrival(0);
        bounds.noteHead(bodyBoundsOfUse.streamed, 1);
        let received = bytesBefore + 300;
        for (let chunk = 0; chunk < 100_000; chunk++) {
            bounds.noteBody(1);
            received += 6;
            assert.equal(bounds.findViolation(received, chunk * second), undefined);
        }
    });

    it("ends what precedes a head once it is too long or takes too long", () => {
        const bounds = ResponseBounds.create(bytesBefore);
        assert.equal(bounds.findViolation(bytesBefore, 60 * second), undefined);
        bounds.noteArrival(60 * second);
        bounds.noteArrival(62 * second);
        assert.equal(bounds.findViolation(bytesBefore + 10_000, 62 * second), undefined);
        assert.match(bounds.findViolation(bytesBefore + 10_000, 63 * second) ?? "", /head was not complete/);
        assert.match(bounds.findViolation(bytesBefore + 100_000, 62 * second) ?? "", /belong to no body/);
    });

    it("ends framing that goes on without a body", () => {
        const bounds = ResponseBounds.create(bytesBefore);
        bounds.noteHead(bodyBoundsOfUse.streamed, 0);
        bounds.noteBody(1_000);
        assert.equal(bounds.findViolation(bytesBefore + 60_000, 0), undefined);
        assert.match(bounds.findViolation(bytesBefore + 100_000, 0) ?? "", /belong to no body/);
    });

    it("ends the body of a failure once it is too long or takes too long", () => {
        const { maximumBytes, maximumMilliseconds } = bodyBoundsOfUse.failure;
        const bounds = ResponseBounds.create(bytesBefore);
        bounds.noteHead(bodyBoundsOfUse.failure, second);
        bounds.noteBody(maximumBytes);
        assert.equal(bounds.findViolation(bytesBefore + maximumBytes, second), undefined);
        const deadline = second + maximumMilliseconds;
        assert.match(bounds.findViolation(bytesBefore + maximumBytes, deadline) ?? "", /body was not complete/);
        bounds.noteBody(1);
        assert.match(bounds.findViolation(bytesBefore + maximumBytes + 1, second) ?? "", /longer than/);
    });
});
