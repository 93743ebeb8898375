import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { CallerListener } from "../../platform/callerListener.ts";
import { findFreePorts } from "../../scripts/deployment/findFreePorts.ts";
import { systemClock } from "../../src/process/systemClock.ts";
import type { AnswerSink } from "../../src/request/relay/answers/answerSink.ts";
import { sendCompleteAnswer } from "../../src/request/relay/answers/sendCompleteAnswer.ts";
import { RawCaller } from "../connection/caller/rawCaller.ts";
import { waitUntil } from "../support/waitUntil.ts";
import { createHead } from "./createHead.ts";

const maximumHeldBytes = 20_000_000;
/** More than the system buffers for a connection whose caller does not read. */
const unreadBytes = 19_000_000;

describe("Answers that are held for callers", () => {
    let listener: CallerListener;
    let address: string;
    let sinks: Map<string, AnswerSink>;
    let callers: RawCaller[];

    beforeEach(async () => {
        const [port] = await findFreePorts(1) as [number];
        address = `127.0.0.1:${port}`;
        sinks = new Map();
        callers = [];
        listener = CallerListener.create({
            address,
            clock: systemClock,
            maximumHeldBytes,
            getMaximumBodyBytes: () => 1_000,
            handle: ({ id }, sink) => sinks.set(id, sink),
        });
        await listener.listen();
    });

    afterEach(() => {
        for (const { socket } of callers) {
            socket.destroy();
        }
        listener.stopListening();
    });

    async function send(id: string): Promise<RawCaller> {
        const caller = await RawCaller.connect(address);
        callers.push(caller);
        caller.write(`GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: ${id}\r\n\r\n`);
        await waitUntil(`${id} is handled`, () => sinks.has(id));
        return caller;
    }

    function answer(id: string, bytes: number): void {
        const head = createHead(["Content-Length", String(bytes)]);
        sendCompleteAnswer(sinks.get(id)!, { head, body: Buffer.alloc(bytes, "a") });
    }

    it("give way where they are kept for the longest time, also before they are written", async () => {
        const first = await send("first");
        const second = await send("second");
        sinks.get("first")!.noteKept?.(16_000_000);
        await wait(50);
        sinks.get("second")!.noteKept?.(4_000_000);
        assert.equal(await first.readToEnd(), "");
        answer("second", 5);
        await second.waitFor("aaaaa");
    });

    it("give way where they are not read, and others are answered", async () => {
        const slow = await send("slow");
        slow.socket.pause();
        answer("slow", unreadBytes);
        await wait(50);
        for (let count = 0; count < 20; count += 1) {
            const caller = await send(`reads-${count}`);
            answer(`reads-${count}`, 1_000_000);
            await waitUntil("it is read", () => caller.getReceived().length > 1_000_000);
        }
        slow.socket.resume();
        assert.ok((await slow.readToEnd()).length < unreadBytes);
    });
});
