import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { CallerListener } from "../../platform/callerListener.ts";
import { findFreePorts } from "../../scripts/deployment/findFreePorts.ts";
import { systemClock } from "../../src/process/systemClock.ts";
import { createRefusal } from "../../src/request/relay/answers/createRefusal.ts";
import type { RelayRefusal } from "../../src/request/relay/answers/relayRefusal.ts";
import { RawCaller } from "../connection/caller/rawCaller.ts";

const maximumBodyBytes = 100_000;
const callerCount = 10;

/** Processor time that a late node takes for each request, during which bodies arrive. */
const lateMilliseconds = 5;

const lastRequest = "GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: 2\r\nConnection: close\r\n\r\n";

/** How a caller sends the body of a request. */
interface Sending {
    name: string;
    parts: number;
    partBytes: number;
    intervalMilliseconds: number;
}

const small: Sending = {
    name: "a small body 20 ms after the head",
    parts: 1,
    partBytes: 200,
    intervalMilliseconds: 20,
};
const large: Sending = { name: "200 KB within 0.2 s", parts: 10, partBytes: 20_000, intervalMilliseconds: 20 };
const slow: Sending = { name: "200 KB within 2 s", parts: 10, partBytes: 20_000, intervalMilliseconds: 200 };

// Guards against the loss of a response that is sent before the body is read: closing a connection with unread bytes resets it, and a
// caller that still sends gets an error instead of the response.
describe("A refusal that is sent before the body has arrived", () => {
    let isLate = false;
    let address: string;
    let listener: CallerListener;

    before(async () => {
        const [port] = await findFreePorts(1);
        address = `127.0.0.1:${port}`;
        listener = CallerListener.create({
            address,
            clock: systemClock,
            getMaximumBodyBytes: () => maximumBodyBytes,
            refuseEarly: () => isLate ? refuseSlowly() : undefined,
            handle: (_request, sink) => sink.refuse(createRefusal.notRun("the whole body was read.")),
        });
        await listener.listen();
    });

    after(() => listener.stopListening());

    /** Sends a request, and another one behind it that closes the connection. Returns all that the caller receives until it ends. */
    async function send(
        { parts, partBytes, intervalMilliseconds }: Sending,
        isChunked: boolean,
        readsLast: boolean,
    ): Promise<string> {
        const caller = await RawCaller.connect(address);
        if (readsLast) {
            caller.socket.pause();
        }
        const framing = isChunked ? "Transfer-Encoding: chunked" : `Content-Length: ${parts * partBytes}`;
        caller.write(`POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n${framing}\r\n\r\n`);
        const part = "x".repeat(partBytes);
        for (let sent = 0; sent < parts && !caller.socket.destroyed; sent++) {
            await wait(intervalMilliseconds);
            caller.write(isChunked ? `${partBytes.toString(16)}\r\n${part}\r\n` : part);
        }
        caller.write((isChunked ? "0\r\n\r\n" : "") + lastRequest);
        caller.socket.resume();
        return await caller.readToEnd();
    }

    async function assertAllReceive(
        status: number,
        sending: Sending,
        isChunked: boolean,
        readsLast: boolean,
    ): Promise<void> {
        const sendings = Array.from({ length: callerCount }, () => send(sending, isChunked, readsLast));
        const counts = { complete: 0, lost: 0 };
        for (const received of await Promise.all(sendings)) {
            const answers = received.split("HTTP/1.1 ").slice(1);
            const isComplete = answers.length === 2 && isWhole(answers[0]!, status) && isWhole(answers[1]!, 503);
            counts[isComplete ? "complete" : "lost"] += 1;
        }
        assert.deepEqual(counts, { complete: callerCount, lost: 0 });
    }

    for (const readsLast of [false, true]) {
        const reader = readsLast ? "reads only after it has sent all" : "reads while it sends";
        for (const isChunked of [false, true]) {
            const framing = isChunked ? "in chunks" : "with a length";
            for (const sending of [small, large, slow]) {
                it(`of a late node reaches a caller that sends ${sending.name} ${framing} and ${reader}`, async () => {
                    isLate = true;
                    await assertAllReceive(503, sending, isChunked, readsLast);
                });
            }
            for (const sending of [large, slow]) {
                it(`of a large body reaches a caller that sends ${sending.name} ${framing} and ${reader}`, async () => {
                    isLate = false;
                    await assertAllReceive(400, sending, isChunked, readsLast);
                });
            }
        }
    }
});

/** Checks the status of an answer, and that its body has the announced length. */
function isWhole(answer: string, status: number): boolean {
    const [head = "", body = ""] = answer.split("\r\n\r\n");
    return head.startsWith(`${status} `) && head.includes(`Content-Length: ${body.length}\r\n`);
}

function refuseSlowly(): RelayRefusal {
    for (const startedAt = performance.now(); performance.now() - startedAt < lateMilliseconds;) {
        // Keeps the event loop busy.
    }
    return createRefusal.notRun("this node is late.", 2_500);
}
