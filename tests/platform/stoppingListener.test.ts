import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { CallerListener } from "../../platform/callerListener.ts";
import { findFreePorts } from "../../scripts/deployment/findFreePorts.ts";
import { systemClock } from "../../src/process/systemClock.ts";
import type { AnswerSink } from "../../src/request/relay/answers/answerSink.ts";
import { createRefusal } from "../../src/request/relay/answers/createRefusal.ts";
import { sendCompleteAnswer } from "../../src/request/relay/answers/sendCompleteAnswer.ts";
import { RecordingEventLog } from "../support/recordingEventLog.ts";
import { waitUntil } from "../support/waitUntil.ts";
import { createHead } from "./createHead.ts";

/** More than the system buffers for a connection whose caller does not read. */
const largeAnswerBytes = 12 * 1024 * 1024;
/** What the system buffers for such a connection, but its caller doesn't receive before it reads. */
const bufferedAnswerBytes = 1024 * 1024;

describe("CallerListener of a node that is stopping", () => {
    let listener: CallerListener;
    let socket: Socket;
    /** The requests that were handed on, in order, with the sinks of their answers. */
    let handled: { id: string; sink: AnswerSink; }[];
    let received: Buffer[];
    let log: RecordingEventLog;

    beforeEach(async () => {
        const [port] = await findFreePorts(1) as [number];
        handled = [];
        log = RecordingEventLog.create();
        received = [];
        listener = CallerListener.create({
            address: `127.0.0.1:${port}`,
            clock: systemClock,
            log,
            getMaximumBodyBytes: () => 1_000,
            refuseEarly: ({ target }) => target === "/refused" ? createRefusal.notRun("the node is late.") : undefined,
            handle: ({ id }, sink) => handled.push({ id, sink }),
        });
        await listener.listen();
        socket = connect(port, "127.0.0.1");
        socket.on("data", chunk => received.push(chunk));
    });

    afterEach(() => {
        socket.destroy();
        listener.stopListening();
    });

    const createRequest = (id: string) =>
        `POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: ${id}\r\nContent-Length: 0\r\n\r\n`;

    /** Sends a request and waits until it is handed on. */
    async function send(id: string): Promise<AnswerSink> {
        socket.write(createRequest(id));
        await waitUntil(`${id} is handled`, () => handled.some(request => request.id === id));
        return handled.at(-1)!.sink;
    }

    function answer(sink: AnswerSink, body: Buffer): void {
        sendCompleteAnswer(sink, { head: createHead(["Content-Length", String(body.length)]), body });
    }

    const getText = () => Buffer.concat(received).toString();

    // Node.js takes a connection for idle once its answer was written, although most of the answer may still wait for the caller to read.
    it("sends the rest of an answer whose caller reads slowly", async () => {
        const sink = await send("slow");
        socket.pause();
        answer(sink, Buffer.alloc(largeAnswerBytes, "a"));
        await wait(100);
        listener.startClosing();
        listener.stopListening();
        const closed = once(socket, "close");
        socket.resume();
        await closed;
        assert.ok(Buffer.concat(received).length > largeAnswerBytes);
    });

    // The first answer said that it closes the connection, although the second request had been read and handed on.
    it("answers each request that it has handed on, also those sent before the answer to an earlier one", async () => {
        const first = await send("first");
        const second = await send("second");
        const closed = once(socket, "close");
        listener.startClosing();
        answer(first, Buffer.from("1"));
        answer(second, Buffer.from("2"));
        await closed;
        const text = Buffer.concat(received).toString();
        assert.match(text, /\r\n\r\n1HTTP[^]*Connection: close\r\n[^]*\r\n\r\n2$/);
        assert.equal(text.match(/Connection: close/g)?.length, 1);
    });

    it("hands on no request that follows an answer which closes the connection", async () => {
        const first = await send("first");
        listener.startClosing();
        socket.pause();
        answer(first, Buffer.from("1"));
        await wait(100);
        socket.write(createRequest("crossing"));
        await wait(100);
        const closed = once(socket, "close");
        socket.resume();
        await closed;
        assert.deepEqual(handled.map(({ id }) => id), ["first"]);
        assert.match(getText(), /^HTTP\/1\.1 200 [^]*?\r\nConnection: close\r\n/);
    });

    // The head of the first answer announced the close, which its slow caller read seconds later. What was read meanwhile was dropped.
    it("answers a request that crosses an answer whose caller reads slowly", async () => {
        const first = await send("first");
        listener.startClosing();
        socket.pause();
        answer(first, Buffer.alloc(largeAnswerBytes, "a"));
        const second = await send("crossing");
        answer(second, Buffer.from("2"));
        socket.resume();
        await waitUntil("both are answered", () => getText().endsWith("\r\n\r\n2"));
    });

    // The refusal announced the close as soon as its request was read. The next one, which had come with it, was dropped.
    it("answers a request that arrives together with one that it refuses early", async () => {
        listener.startClosing();
        const closed = once(socket, "close");
        socket.write(createRequest("first").replace("/x", "/refused") + createRequest("second"));
        await waitUntil("the second is handled", () => handled.length > 0);
        answer(handled[0]!.sink, Buffer.from("2"));
        await closed;
        assert.match(getText(), /^HTTP\/1\.1 503 [^]*HTTP\/1\.1 200 [^]*Connection: close\r\n[^]*\r\n\r\n2$/);
        assert.equal(getText().match(/Connection: close/g)?.length, 1);
    });

    // The connection was closed with its last answer. A request that came then reset it, and what of the answer was still on its way was lost.
    for (
        const [moment, act] of [["while the node serves", "startClosing"], [
            "once it doesn't listen",
            "stopListening",
        ]] as const
    ) {
        it(`sends all answers before a close that it has announced, although a request crosses it, ${moment}`, async () => {
            socket.pause();
            answer(await send("first"), Buffer.alloc(bufferedAnswerBytes, "a"));
            const last = await send("last");
            listener.startClosing();
            answer(last, Buffer.from("2"));
            await wait(50);
            listener[act]();
            socket.write(createRequest("crossing"));
            await wait(100);
            const closed = once(socket, "close");
            socket.resume();
            await closed;
            await listener.waitUntilIdle();
            assert.ok(Buffer.concat(received).length > bufferedAnswerBytes);
            assert.match(getText(), /aHTTP[^]*\r\nConnection: close\r\n[^]*\r\n\r\n2$/);
            assert.deepEqual(handled.map(({ id }) => id), ["first", "last"]);
        });
    }

    // The head of a stream announced a close that came only with its end, seconds later. Requests that crossed it were read and dropped.
    it("hands on and answers a request that comes behind the head of a stream", async () => {
        const first = await send("first");
        listener.startClosing();
        first.writeHead(createHead());
        first.write(Buffer.from("event"));
        await waitUntil("the stream has begun", () => getText().includes("event"));
        const second = await send("second");
        const closed = once(socket, "close");
        answer(second, Buffer.from("2"));
        first.end();
        await closed;
        assert.match(getText(), /event\r\n0\r\n\r\nHTTP[^]*Connection: close\r\n[^]*\r\n\r\n2$/);
        assert.equal(getText().match(/Connection: close/g)?.length, 1);
    });

    // The refusal of the first of them was to close the connection. Those behind it were read and dropped while the stream went on.
    it("refuses each request that comes behind a stream once it doesn't listen, in turn", async () => {
        const first = await send("first");
        listener.startClosing();
        first.writeHead(createHead());
        listener.stopListening();
        for (const id of ["second", "third"]) {
            socket.write(createRequest(id));
            await wait(50);
        }
        const closed = once(socket, "close");
        first.end();
        await closed;
        const [, ...refusals] = getText().split("HTTP/1.1 ");
        assert.deepEqual(refusals.map(refusal => refusal.slice(0, 3)), ["200", "503", "503"]);
        assert.deepEqual(log.fields, ["second", "third"].map(request => ({ request, isBehindAnswer: true })));
        assert.match(refusals[1]!, /Request-Id: second\r\n/);
        assert.match(refusals[2]!, /Request-Id: third\r\n[^]*Connection: close\r\n[^]*\}$/);
        assert.equal(getText().match(/Connection: close/g)?.length, 1);
    });

    it("closes a connection whose last answer was a stream once it doesn't listen", async () => {
        const first = await send("first");
        listener.startClosing();
        first.writeHead(createHead());
        listener.stopListening();
        const closed = once(socket, "close");
        first.write(Buffer.from("last event"));
        first.end();
        await closed;
        await listener.waitUntilIdle();
        assert.match(getText(), /last event\r\n0\r\n\r\n$/);
    });

    it("serves a connection after a stream until it doesn't listen", async () => {
        const first = await send("first");
        listener.startClosing();
        first.writeHead(createHead());
        first.end();
        await waitUntil("the stream has ended", () => getText().endsWith("0\r\n\r\n"));
        const second = await send("second");
        const closed = once(socket, "close");
        answer(second, Buffer.from("2"));
        await closed;
        assert.match(getText(), /Connection: close\r\n[^]*\r\n\r\n2$/);
    });
});
