import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { encodeFrame } from "../../../../src/connection/peer/framed/encodeFrame.ts";
import type { Frame } from "../../../../src/connection/peer/framed/frame.ts";
import { FrameKind } from "../../../../src/connection/peer/framed/frameKind.ts";
import { frameLayout } from "../../../../src/connection/peer/framed/frameLayout.ts";
import { FrameReader } from "../../../../src/connection/peer/framed/frameReader.ts";

const anyFrame: fc.Arbitrary<Frame> = fc.record({
    callId: fc.nat(0xffff_ffff),
    kind: fc.constantFrom(...Object.values(FrameKind)),
    method: fc.stringMatching(/^[A-Za-z]{0,20}$/),
    payload: fc.uint8Array({ maxLength: 300 }),
});

describe("FrameReader", () => {
    it("returns the encoded frames regardless of how their bytes are split into chunks", () => {
        fc.assert(
            fc.property(fc.array(anyFrame, { maxLength: 8 }), fc.integer({ min: 1, max: 400 }), (frames, step) => {
                const bytes = Buffer.concat(frames.map(encodeFrame));
                const reader = FrameReader.create();
                const received: Frame[] = [];
                for (let at = 0; at < bytes.length; at += step) {
                    received.push(...reader.push(bytes.subarray(at, at + step)).unwrap());
                }
                const plain = (list: Frame[]) => list.map(frame => ({ ...frame, payload: [...frame.payload] }));
                assert.deepEqual(plain(received), plain(frames));
            }),
        );
    });

    it("rejects a frame that is too long before it is received, and invalid frames", () => {
        const announce = (length: number, ...rest: number[]) => {
            const bytes = Buffer.alloc(4 + rest.length);
            bytes.writeUInt32BE(length, 0);
            bytes.set(rest, 4);
            return FrameReader.create().push(bytes);
        };
        assert.ok(announce(frameLayout.maximumBytes).err);
        assert.ok(announce(2, 0, 0).err);
        assert.ok(announce(6, 0, 0, 0, 1, 9, 0).err);
        assert.ok(announce(6, 0, 0, 0, 1, 0, 9).err);
        assert.deepEqual(announce(6, 0, 0, 0).val, []);
    });

    it("never throws, whatever the bytes", () => {
        fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), bytes => {
            FrameReader.create().push(Buffer.from(bytes));
        }));
    });
});
