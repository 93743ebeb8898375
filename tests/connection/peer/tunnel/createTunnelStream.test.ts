import assert from "node:assert/strict";
import { PassThrough } from "node:stream";
import { text } from "node:stream/consumers";
import { describe, it } from "node:test";
import { createTunnelStream } from "../../../../src/connection/peer/tunnel/createTunnelStream.ts";
import { TunnelFrameKind } from "../../../../src/connection/peer/tunnel/tunnelFrameKind.ts";
import { TunnelFrameReader } from "../../../../src/connection/peer/tunnel/tunnelFrameReader.ts";

const data = { kind: TunnelFrameKind.Data, payload: Buffer.from("answer") };
const end = { kind: TunnelFrameKind.End, payload: Buffer.alloc(0) };

describe("createTunnelStream", () => {
    // Guards against a cut answer whose end had arrived before the connection to the peer broke.
    for (const [frames, isComplete] of [[[data, end], true], [[data], false]] as const) {
        it(`${isComplete ? "keeps" : "fails without"} the end if the connection to the peer breaks after it was due`, async () => {
            const connection = new PassThrough();
            const stream = createTunnelStream(connection, TunnelFrameReader.create(), frames);
            const broken = new Promise(resolve => connection.once("close", resolve));
            stream.on("error", () => undefined);
            connection.destroy(new Error("The connection was reset."));
            await broken;
            const received = await text(stream).catch(() => "failed");
            assert.equal(received, isComplete ? "answer" : "failed");
        });
    }
});
