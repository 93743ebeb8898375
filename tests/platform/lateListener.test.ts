import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { CallerListener } from "../../platform/callerListener.ts";
import { findFreePorts } from "../../scripts/deployment/findFreePorts.ts";
import { systemClock } from "../../src/process/systemClock.ts";
import { createRefusal } from "../../src/request/relay/answers/createRefusal.ts";
import { RefusalReason } from "../../src/request/relay/answers/refusalReason.ts";
import { RawCaller } from "../connection/caller/rawCaller.ts";

const bodyParts = 5;
const bodyPart = "b".repeat(100);
const partMilliseconds = 20;

describe("CallerListener of a late node", () => {
    let isRefusing = false;
    /** Number of requests handled in each turn of the event loop. */
    const handledByTurn = new Map<number, number>();
    let turn = 0;
    let onLater: (answer: () => void) => void = () => undefined;
    let port: number;
    let listener: CallerListener;

    before(async () => {
        [port] = await findFreePorts(1) as [number];
        listener = CallerListener.create({
            address: `127.0.0.1:${port}`,
            clock: systemClock,
            getMaximumBodyBytes: () => 1_000,
            refuseEarly: head => isRefusing ? createRefusal.notRun(`${head.target} is late.`, 2_500) : undefined,
            handle: (request, sink) => {
                if (request.target === "/later") {
                    onLater(() => sink.refuse({ reason: RefusalReason.NoRoute, message: "answered later" }));
                    return;
                }
                handledByTurn.set(turn, (handledByTurn.get(turn) ?? 0) + 1);
                sink.refuse({ reason: RefusalReason.NoRoute, message: request.body.toString() });
            },
        });
        await listener.listen();
    });

    after(() => {
        listener.stopListening();
    });

    /** Opens a connection and sends text. Returns what is received until the connection ends. */
    async function exchange(text: string): Promise<string> {
        const socket: Socket = connect(port, "127.0.0.1");
        let received = "";
        socket.on("data", chunk => received += chunk.toString());
        socket.write(text);
        await once(socket, "close");
        return received;
    }

    const createRequest = (body: string, length = body.length) =>
        `POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nConnection: close\r\nContent-Length: ${length}\r\n\r\n${body}`;

    /** Sends a burst of requests whose connections all arrive in one turn. Returns the maximum number handled in one turn. */
    async function sendBurst(bodies: readonly string[]): Promise<number> {
        handledByTurn.clear();
        let isCounting = true;
        const countTurns = () => {
            turn += 1;
            if (isCounting) {
                setImmediate(countTurns);
            }
        };
        const exchanges = bodies.map(body => exchange(createRequest(body)));
        countTurns();
        const answers = await Promise.all(exchanges);
        isCounting = false;
        for (const [index, answer] of answers.entries()) {
            assert.match(answer, /^HTTP\/1.1 404 /);
            assert.ok(answer.endsWith(`{"error":"${bodies[index]}"}`));
        }
        return Math.max(...handledByTurn.values());
    }

    // Events of running streams would wait for the whole burst otherwise. Node.js accepts one connection per turn, so the node doesn't
    // limit them itself.
    it("serves all of a burst of connections, few in each turn of the event loop", async () => {
        const bodies = Array.from({ length: 60 }, (_item, index) => `body ${index}`);
        assert.ok(await sendBurst(bodies) <= 8);
    });

    it("refuses a request before its body arrives, with the retry delay", async () => {
        isRefusing = true;
        const answer = await exchange(createRequest("", 500));
        isRefusing = false;
        assert.match(answer, /^HTTP\/1.1 503 /);
        assert.match(answer, /Retry-After: 2.5\r\n/);
        assert.ok(answer.includes("/x is late."));
    });

    // The connection was closed with unread bytes, which resets it. A caller that was still sending lost the refusal.
    it("delivers the refusal to a caller that is still sending its body", async () => {
        isRefusing = true;
        const socket: Socket = connect(port, "127.0.0.1");
        let received = "";
        socket.on("data", chunk => received += chunk.toString());
        socket.on("error", () => undefined);
        const closed = new Promise(resolve => socket.once("close", resolve));
        socket.pause();
        socket.write(createRequest("", bodyParts * bodyPart.length));
        for (let part = 0; part < bodyParts; part++) {
            await wait(partMilliseconds);
            socket.write(bodyPart);
        }
        socket.resume();
        await closed;
        isRefusing = false;
        assert.match(received, /^HTTP\/1.1 503 [^]*\/x is late\./);
    });

    // The refusal closed the connection once the body had come. A request that came right behind it was read and dropped.
    for (
        const [framing, body] of [["Content-Length: 4", "body"], [
            "Transfer-Encoding: chunked",
            "4\r\nbody\r\n0\r\n\r\n",
        ]] as const
    ) {
        it(`answers a request right behind the body (${framing}) of one that it has refused before`, async () => {
            const caller = await RawCaller.connect(`127.0.0.1:${port}`);
            isRefusing = true;
            caller.write(`POST /refused HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n${framing}\r\n\r\n`);
            await caller.waitFor("/refused is late");
            isRefusing = false;
            caller.write(body + createRequest("last"));
            const received = await caller.readToEnd();
            assert.match(received, /^HTTP\/1.1 503 [^]*\/refused is late[^]*HTTP\/1.1 404 [^]*\{"error":"last"\}$/);
        });
    }

    it("closes the connection of a request that it has refused, if its body doesn't come", async () => {
        const caller = await RawCaller.connect(`127.0.0.1:${port}`);
        isRefusing = true;
        caller.write("POST /refused HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nContent-Length: 4\r\n\r\n");
        const received = await caller.readToEnd();
        isRefusing = false;
        assert.equal(received.match(/HTTP\/1.1 /g)?.length, 1);
    });

    // The refusal was to close the connection, although it waited behind a running answer. What came meanwhile was read and dropped.
    it("answers a request behind one that it has refused before its body arrived, while an answer runs", async () => {
        const { promise: answerLater, resolve: setAnswer } = Promise.withResolvers<() => void>();
        onLater = setAnswer;
        const caller = await RawCaller.connect(`127.0.0.1:${port}`);
        const createKept = (target: string) =>
            `POST ${target} HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nContent-Length: 4\r\n\r\n`;
        caller.write(`${createKept("/later")}body`);
        const answer = await answerLater;
        isRefusing = true;
        caller.write(createKept("/refused"));
        await wait(partMilliseconds);
        caller.write("body");
        await wait(partMilliseconds);
        isRefusing = false;
        caller.write(`${createKept("/last")}last`);
        await wait(partMilliseconds);
        answer();
        await caller.waitFor("last");
        caller.socket.destroy();
        assert.match(caller.getReceived(), /^HTTP\/1.1 404 [^]*HTTP\/1.1 503 [^]*\/refused is late[^]*HTTP\/1.1 404 /);
    });
});
