import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { type Client, Code, ConnectError, createClient } from "@connectrpc/connect";
import assert from "node:assert/strict";
import { type AddressInfo, connect, createServer } from "node:net";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { createFramedTransport } from "../../../../src/connection/peer/framed/createFramedTransport.ts";
import { encodeFrame } from "../../../../src/connection/peer/framed/encodeFrame.ts";
import { FramedConnection } from "../../../../src/connection/peer/framed/framedConnection.ts";
import { FramedServer } from "../../../../src/connection/peer/framed/framedServer.ts";
import { FrameKind } from "../../../../src/connection/peer/framed/frameKind.ts";
import { FrameReader } from "../../../../src/connection/peer/framed/frameReader.ts";
import { systemClock } from "../../../../src/process/systemClock.ts";
import {
    ExchangeResponseSchema,
    type FetchRequest,
    FetchRequestSchema,
    FetchResponseSchema,
    RouterService,
} from "../../../../src/wire/generated/foxlead/router/v1/router_pb.ts";

describe("FramedConnection and FramedServer", () => {
    let server: FramedServer;
    let connection: FramedConnection;
    let client: Client<typeof RouterService>;

    /** Returns a record whose text has as many bytes as the requested revision. Throws for revision 0. */
    function fetch({ frontier }: FetchRequest) {
        const revision = Number(frontier?.revision ?? 0n);
        if (revision === 0) {
            throw new Error("Revision 0 is never known.");
        }
        const records = [{ key: "k", revision: BigInt(revision), isDeleted: false, text: "x".repeat(revision) }];
        return create(FetchResponseSchema, { changes: { section: "s", frontier: 1n, isWhole: true, records } });
    }

    before(async () => {
        server = await FramedServer.create({
            address: "127.0.0.1:0",
            service: RouterService,
            handlers: { exchange: () => create(ExchangeResponseSchema, {}), fetch },
        });
    });

    after(() => server.close());

    beforeEach(() => createConnection(server.getPort()));

    afterEach(() => connection.close());

    function createConnection(port: number): void {
        connection = FramedConnection.create({
            address: { host: "127.0.0.1", port },
            clock: systemClock,
            connectTimeoutMilliseconds: 500,
            idleTimeoutMilliseconds: 60_000,
        });
        client = createClient(RouterService, createFramedTransport(connection));
    }

    const ask = (revision: number, timeoutMs = 2_000) =>
        client.fetch({ frontier: { section: "s", revision: BigInt(revision) } }, { timeoutMs });

    async function getCode(call: Promise<unknown>): Promise<Code | undefined> {
        try {
            await call;
            return undefined;
        }
        catch (error) {
            return ConnectError.from(error).code;
        }
    }

    it("returns its own answer to each call, including concurrent calls and large answers", async () => {
        const sizes = [1, 1_000_000, 7, 70_000, 3];
        const answers = await Promise.all(sizes.map(size => ask(size)));
        assert.deepEqual(answers.map(answer => answer.changes!.records[0]!.text.length), sizes);
        assert.equal(connection.getCallCount(), 0);
    });

    it("returns the error of a failed call, and handles further calls", async () => {
        await assert.rejects(ask(0), /Revision 0 is never known/);
        assert.equal((await ask(2)).changes!.records.length, 1);
    });

    it("aborts calls that are not answered in time", async () => {
        const silent = createServer(socket => socket.resume());
        await new Promise<void>(resolve => silent.listen(0, "127.0.0.1", resolve));
        createConnection((silent.address() as { port: number; }).port);
        assert.equal(await getCode(ask(1, 50)), Code.DeadlineExceeded);
        connection.close();
        await new Promise(resolve => silent.close(resolve));
    });

    it("uses binary messages with a server of an older release, which doesn't know the JSON methods", async () => {
        const methods: string[] = [];
        const older = createServer(socket => {
            const reader = FrameReader.create();
            socket.on("data", chunk => {
                for (const { callId, method, payload } of reader.push(chunk).unwrap()) {
                    methods.push(method);
                    socket.write(encodeFrame(
                        method === "Fetch"
                            ? {
                                callId,
                                kind: FrameKind.Answer,
                                method: "",
                                payload: toBinary(FetchResponseSchema, fetch(fromBinary(FetchRequestSchema, payload))),
                            }
                            : {
                                callId,
                                kind: FrameKind.Failure,
                                method: "",
                                payload: Buffer.from(`Unknown method ${method}.`),
                            },
                    ));
                }
            });
        });
        await new Promise<void>(resolve => older.listen(0, "127.0.0.1", resolve));
        createConnection((older.address() as { port: number; }).port);
        assert.equal((await ask(3)).changes!.records[0]!.text.length, 3);
        assert.equal((await ask(4)).changes!.records[0]!.text.length, 4);
        assert.deepEqual(methods, ["Fetch.json", "Fetch", "Fetch"]);
        connection.close();
        await new Promise(resolve => older.close(resolve));
    });

    it("serves binary messages of a caller of an older release", async () => {
        const payload = toBinary(FetchRequestSchema, create(FetchRequestSchema, { frontier: { revision: 6n } }));
        const answer = fromBinary(FetchResponseSchema, await connection.call("Fetch", payload, 2_000));
        assert.equal(answer.changes!.records[0]!.text.length, 6);
    });

    it("aborts its calls immediately if nothing listens or the peer closes the connection", async () => {
        createConnection(1);
        assert.equal(await getCode(ask(1)), Code.Unavailable);
        const closing = createServer(socket => setTimeout(() => socket.destroy(), 30));
        await new Promise<void>(resolve => closing.listen(0, "127.0.0.1", resolve));
        createConnection((closing.address() as { port: number; }).port);
        assert.equal(await getCode(ask(1)), Code.Unavailable);
        await new Promise(resolve => closing.close(resolve));
    });

    it("completes the calls in flight after it is retired", async () => {
        const answer = ask(5);
        connection.retire();
        assert.equal((await answer).changes!.records.length, 1);
    });

    it("closes connections that send invalid bytes, and serves the others", async () => {
        const stranger = connect(server.getPort(), "127.0.0.1");
        stranger.on("error", () => undefined);
        stranger.write("GET / HTTP/1.1\r\n\r\n");
        await new Promise(resolve => stranger.once("close", resolve));
        assert.equal((await ask(2)).changes!.records.length, 1);
    });

    // Guards against a peer that takes all of a link with answers to calls that nobody has made.
    it("closes the connection to a peer that sends answers to no call without end, and fails its calls", async () => {
        let sentBytes = 0;
        const frame = encodeFrame({
            callId: 1_000_000,
            kind: FrameKind.Answer,
            method: "",
            payload: Buffer.alloc(65_536),
        });
        const endless = createServer(socket => {
            const send = () => {
                while (!socket.destroyed && socket.write(frame)) {
                    sentBytes = socket.bytesWritten;
                }
                socket.once("drain", send);
            };
            socket.on("error", () => undefined);
            socket.once("data", send);
        });
        await new Promise<void>(resolve => endless.listen(0, "127.0.0.1", resolve));
        createConnection((endless.address() as AddressInfo).port);
        assert.equal(await getCode(ask(1)), Code.Unavailable);
        assert.ok(sentBytes < 16_000_000, `It sent ${sentBytes} bytes.`);
        endless.close();
    });
});
