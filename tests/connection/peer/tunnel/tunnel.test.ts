import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import type { Duplex } from "node:stream";
import { afterEach, beforeEach, describe, it } from "node:test";
import { encodeTunnelFrame } from "../../../../src/connection/peer/tunnel/encodeTunnelFrame.ts";
import { openTcpTunnel } from "../../../../src/connection/peer/tunnel/openTcpTunnel.ts";
import type { TunnelFailure } from "../../../../src/connection/peer/tunnel/tunnelFailure.ts";
import { TunnelFailureKind } from "../../../../src/connection/peer/tunnel/tunnelFailureKind.ts";
import { TunnelFrameKind } from "../../../../src/connection/peer/tunnel/tunnelFrameKind.ts";
import { TunnelServer } from "../../../../src/connection/peer/tunnel/tunnelServer.ts";
import { createTcpSocket } from "../../../../src/connection/upstream/path/createTcpSocket.ts";
import { systemClock } from "../../../../src/process/systemClock.ts";
import type { Result } from "../../../../src/result.ts";
import { waitUntil } from "../../../support/waitUntil.ts";

/** Much more than the buffers of the four sockets hold. */
const largeBytes = 64 * 1024 * 1024;

describe("A tunnel to an endpoint through a peer", () => {
    let endpoint: Server;
    let endpointSockets: Socket[];
    let peer: TunnelServer;
    let refusal: string | undefined;
    let failures: (string | undefined)[];

    beforeEach(async () => {
        endpointSockets = [];
        failures = [];
        refusal = undefined;
        endpoint = createServer(socket => {
            socket.on("error", () => undefined);
            endpointSockets.push(socket);
        });
        await new Promise<void>(resolve => endpoint.listen(0, "127.0.0.1", resolve));
        peer = await TunnelServer.create({
            address: "127.0.0.1:0",
            clock: systemClock,
            createSocket: createTcpSocket,
            getRefusal: () => refusal,
            onConnected: (_address, failure) => failures.push(failure),
            onCountChanged: () => undefined,
        });
    });

    afterEach(async () => {
        for (const socket of endpointSockets) {
            socket.destroy();
        }
        await peer.close();
        await new Promise(resolve => endpoint.close(resolve));
    });

    const getEndpointAddress = () => `127.0.0.1:${(endpoint.address() as AddressInfo).port}`;

    function open(address = getEndpointAddress()): Promise<Result<Duplex, TunnelFailure>> {
        return new Promise(onDone =>
            openTcpTunnel({
                peer: `127.0.0.1:${peer.getPort()}`,
                address,
                timeoutMilliseconds: 1_000,
                clock: systemClock,
                onDone,
            })
        );
    }

    async function getFailure(address?: string): Promise<TunnelFailure> {
        const result = await open(address);
        assert.ok(result.err);
        return result.val;
    }

    /** Opens a tunnel and records how it ends. */
    async function openRecorded() {
        const stream = (await open()).unwrap();
        await waitUntil("the endpoint has the connection", () => endpointSockets.length > 0);
        const record = { received: "", hasEnded: false, error: undefined as Error | undefined };
        stream.on("data", (chunk: Buffer) => record.received += chunk.toString("latin1"));
        stream.on("end", () => record.hasEnded = true);
        stream.on("error", error => record.error = error);
        return { stream, record, socket: endpointSockets[0]! };
    }

    it("passes bytes in both directions, and the regular end of the endpoint's connection", async () => {
        const { stream, record, socket } = await openRecorded();
        let received = "";
        socket.on("data", (chunk: Buffer) => received += chunk.toString("latin1"));
        stream.write("question");
        await waitUntil("the question has arrived", () => received === "question");
        socket.end("answer");
        await waitUntil("the answer has ended", () => record.hasEnded);
        assert.equal(record.received, "answer");
        assert.equal(record.error, undefined);
    });

    it("fails if the endpoint resets its connection, so that an answer without a length does not look complete", async () => {
        const { record, socket } = await openRecorded();
        socket.write("part");
        await waitUntil("the part has arrived", () => record.received === "part");
        socket.resetAndDestroy();
        await waitUntil("the tunnel has failed", () => record.error !== undefined);
        assert.equal(record.hasEnded, false);
    });

    it("fails if the peer stops, so that an answer without a length does not look complete", async () => {
        const { record, socket } = await openRecorded();
        socket.write("part");
        await waitUntil("the part has arrived", () => record.received === "part");
        await peer.close();
        await waitUntil("the tunnel has failed", () => record.error !== undefined);
        assert.equal(record.hasEnded, false);
    });

    it("closes the connection to the endpoint when the near end is closed", async () => {
        const { stream, socket } = await openRecorded();
        stream.destroy();
        await waitUntil("the endpoint's connection is closed", () => socket.destroyed);
    });

    it("takes no more bytes from the endpoint than the near end reads", async () => {
        const stream = (await open()).unwrap();
        stream.on("error", () => undefined);
        await waitUntil("the endpoint has the connection", () => endpointSockets.length > 0);
        const socket = endpointSockets[0]!;
        socket.write(Buffer.alloc(largeBytes));
        await new Promise(resolve => setTimeout(resolve, 300));
        assert.ok(socket.writableLength > 0, "All bytes were taken.");
        let received = 0;
        stream.on("data", (chunk: Buffer) => received += chunk.length);
        await waitUntil("all bytes have arrived", () => received === largeBytes);
    });

    it("is not opened if the endpoint refuses the connection", async () => {
        const address = getEndpointAddress();
        await new Promise(resolve => endpoint.close(resolve));
        const failure = await getFailure(address);
        assert.equal(failure.kind, TunnelFailureKind.Endpoint);
        assert.equal(failures.filter(text => text !== undefined).length, 1);
        endpoint.listen(0, "127.0.0.1");
    });

    it("is not opened if the peer may not connect to the address", async () => {
        refusal = "no endpoint is registered at this address.";
        const failure = await getFailure();
        assert.equal(failure.kind, TunnelFailureKind.Endpoint);
        assert.match(failure.message, /no endpoint is registered/);
        assert.equal(endpointSockets.length, 0);
    });
});

// Guards against a peer that keeps a request waiting, and takes all of a link, with frames that bring no bytes of the endpoint.
describe("A tunnel through a peer that sends frames without end", () => {
    const emptyData = encodeTunnelFrame({ kind: TunnelFrameKind.Data, payload: Buffer.alloc(0) });
    const opened = encodeTunnelFrame({ kind: TunnelFrameKind.Opened, payload: Buffer.alloc(0) });
    const data = encodeTunnelFrame({ kind: TunnelFrameKind.Data, payload: Buffer.from("x") });
    const end = encodeTunnelFrame({ kind: TunnelFrameKind.End, payload: Buffer.alloc(0) });

    for (
        const [name, first, next] of [["empty", opened, emptyData], ["repeated", opened, opened], [
            "after the end",
            Buffer.concat([opened, end]),
            data,
        ]] as const
    ) {
        it(`is closed if they are ${name}`, async () => {
            let sentBytes = 0;
            const peer = createServer(socket => {
                const send = () => {
                    while (
                        !socket.destroyed && socket.write(Buffer.concat(Array.from({ length: 1_000 }, () => next)))
                    ) {
                        sentBytes = socket.bytesWritten;
                    }
                    socket.once("drain", send);
                };
                socket.on("error", () => undefined);
                socket.once("data", () => socket.write(first, () => setTimeout(send, 50)));
            });
            await new Promise<void>(resolve => peer.listen(0, "127.0.0.1", resolve));
            const tunnel = await new Promise<Result<Duplex, TunnelFailure>>(onDone =>
                openTcpTunnel({
                    peer: `127.0.0.1:${(peer.address() as AddressInfo).port}`,
                    address: "127.0.0.1:1",
                    timeoutMilliseconds: 1_000,
                    clock: systemClock,
                    onDone,
                })
            );
            assert.ok(tunnel.ok);
            let isClosed = false;
            tunnel.val.on("error", () => undefined).on("close", () => isClosed = true).resume();
            await waitUntil("the tunnel is closed", () => isClosed);
            await new Promise(resolve => peer.close(resolve));
            assert.ok(sentBytes < 16_000_000, `It sent ${sentBytes} bytes.`);
        });
    }
});
