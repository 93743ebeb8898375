import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { CallerListener } from "../../platform/callerListener.ts";
import { findFreePorts } from "../../scripts/deployment/findFreePorts.ts";
import { events } from "../../src/process/logging/events.ts";
import { systemClock } from "../../src/process/systemClock.ts";
import type { AnswerSink } from "../../src/request/relay/answers/answerSink.ts";
import { sendCompleteAnswer } from "../../src/request/relay/answers/sendCompleteAnswer.ts";
import { RawCaller } from "../connection/caller/rawCaller.ts";
import { RecordingEventLog } from "../support/recordingEventLog.ts";
import { waitUntil } from "../support/waitUntil.ts";
import { createHead } from "./createHead.ts";

const createRequest = (id: string) => `POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: ${id}\r\nContent-Length: 0\r\n\r\n`;

describe("CallerListener whose connection closes with requests that were read", () => {
    let listener: CallerListener;
    let address: string;
    let caller: RawCaller;
    let log: RecordingEventLog;
    let sinks: Map<string, AnswerSink>;
    let closed: string[];

    beforeEach(async () => {
        const [port] = await findFreePorts(1) as [number];
        address = `127.0.0.1:${port}`;
        log = RecordingEventLog.create();
        sinks = new Map();
        closed = [];
        listener = CallerListener.create({
            address,
            clock: systemClock,
            log,
            getMaximumBodyBytes: () => 1_000,
            handle: ({ id }, sink) => {
                sinks.set(id, sink);
                sink.onClosed(() => closed.push(id));
            },
        });
        await listener.listen();
        caller = await RawCaller.connect(address);
    });

    afterEach(() => {
        caller.socket.destroy();
        listener.stopListening();
    });

    async function send(...ids: string[]): Promise<AnswerSink[]> {
        caller.write(ids.map(createRequest).join(""));
        await waitUntil("all are handled", () => ids.every(id => sinks.has(id)));
        return ids.map(id => sinks.get(id)!);
    }

    function getLogged(): { requests: unknown; count: unknown; reason: unknown; }[] {
        assert.ok(log.numbers.every(number => number === events.requestsUnanswered.number));
        return log.fields.map(({ requests, count, reason, milliseconds } = {}) => {
            assert.ok(Number(milliseconds) >= 0);
            return { requests, count, reason };
        });
    }

    it("logs those behind an aborted answer", async () => {
        const [first] = await send("first", "second", "third") as [AnswerSink];
        first.writeHead(createHead());
        first.abort();
        await caller.readToEnd();
        assert.deepEqual(getLogged(), [{ requests: "second,third", count: 2, reason: "aborted answer" }]);
        assert.deepEqual(closed, ["first", "second", "third"]);
        await listener.waitUntilIdle();
    });

    // The caller of an answer that was aborted before its head got nothing.
    it("refuses in place of an answer that is aborted before its head", async () => {
        const [only] = await send("only") as [AnswerSink];
        only.abort();
        await caller.waitFor("502 Bad Gateway\r\nRequest-Id: only\r\n");
        await send("next");
        assert.deepEqual(getLogged(), []);
    });

    it("names only the first few of them, by the first characters of their ids", async () => {
        const ids = Array.from({ length: 12 }, (_item, index) => `${index}`.padStart(100, "x"));
        const [first] = await send("first", ...ids) as [AnswerSink];
        first.writeHead(createHead());
        first.abort();
        await caller.readToEnd();
        const requests = Array.from({ length: 8 }, () => "x".repeat(64)).join(",");
        assert.deepEqual(getLogged(), [{ requests, count: 12, reason: "aborted answer" }]);
    });

    it("logs none that a caller leaves, by an end or by a reset", async () => {
        for (const leave of [() => caller.socket.end(), () => caller.socket.resetAndDestroy()]) {
            sinks.clear();
            closed = [];
            const [first] = await send("first", "second") as [AnswerSink];
            first.writeHead(createHead());
            leave();
            await waitUntil("the caller has left", () => closed.length === 2);
            first.abort();
            await caller.readToEnd();
            assert.deepEqual(getLogged(), []);
            caller = await RawCaller.connect(address);
        }
    });

    it("logs those that come after the head of an answer which announces the close", async () => {
        const [first] = await send("first") as [AnswerSink];
        listener.startClosing();
        caller.socket.pause();
        sendCompleteAnswer(first, { head: createHead(), body: Buffer.from("1") });
        await wait(100);
        caller.write(createRequest("crossing"));
        await wait(100);
        caller.socket.resume();
        await caller.readToEnd();
        assert.deepEqual(getLogged(), [{ requests: "crossing", count: 1, reason: "announced close" }]);
    });
});
