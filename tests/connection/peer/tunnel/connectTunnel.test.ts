import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { Duplex } from "node:stream";
import { describe, it } from "node:test";
import { connectTunnel } from "../../../../src/connection/peer/tunnel/connectTunnel.ts";
import { TunnelFrameKind } from "../../../../src/connection/peer/tunnel/tunnelFrameKind.ts";
import { TunnelFrameReader } from "../../../../src/connection/peer/tunnel/tunnelFrameReader.ts";
import { createTcpSocket } from "../../../../src/connection/upstream/path/createTcpSocket.ts";
import { systemClock } from "../../../../src/process/systemClock.ts";
import { waitUntil } from "../../../support/waitUntil.ts";

describe("connectTunnel", () => {
    // Guards against a cut answer of an endpoint that sends it in full and then resets its connection, while the peer reads slowly.
    it("sends the peer all bytes that came before the endpoint reset its connection", async test => {
        const endpointSockets: Socket[] = [];
        const endpoint = createServer(socket => void endpointSockets.push(socket));
        await new Promise<void>(resolve => endpoint.listen(0, "127.0.0.1", resolve));
        test.after(() => endpoint.close());
        const sent: Buffer[] = [];
        let release: (() => void) | undefined;
        const peer = new Duplex({
            read: () => undefined,
            write: (chunk: Buffer, _encoding, callback) => {
                sent.push(chunk);
                if (sent.length === 1) {
                    release = callback;
                    return;
                }
                callback();
            },
        });
        let hasClosed = false;
        connectTunnel(peer, `127.0.0.1:${(endpoint.address() as AddressInfo).port}`, {
            clock: systemClock,
            createSocket: target => {
                const socket = createTcpSocket(target);
                socket.once("close", () => hasClosed = true);
                return socket;
            },
            getRefusal: () => undefined,
            onConnected: () => undefined,
        });
        await waitUntil("the tunnel is open", () => endpointSockets.length > 0 && release !== undefined);
        const openedBytes = peer.writableLength;
        endpointSockets[0]!.write("answer");
        await waitUntil("the answer waits for the peer", () => peer.writableLength > openedBytes);
        endpointSockets[0]!.resetAndDestroy();
        await waitUntil("the endpoint's connection has failed", () => hasClosed);
        release?.();
        await waitUntil("the tunnel is closed", () => peer.destroyed);
        const frames = TunnelFrameReader.create().push(Buffer.concat(sent)).unwrap();
        assert.deepEqual(frames.map(({ kind }) => kind), [TunnelFrameKind.Opened, TunnelFrameKind.Data]);
        assert.equal(frames[1]!.payload.toString(), "answer");
    });
});
