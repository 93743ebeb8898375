import assert from "node:assert/strict";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { describe, it } from "node:test";
import { createAnswerSink } from "../../platform/createAnswerSink.ts";
import type { AnswerSink } from "../../src/request/relay/answers/answerSink.ts";
import { RefusalReason } from "../../src/request/relay/answers/refusalReason.ts";
import { sendCompleteAnswer } from "../../src/request/relay/answers/sendCompleteAnswer.ts";
import { createHead } from "./createHead.ts";

/** Sends pipelined requests over one connection, answers them with a function and returns all bytes received. */
async function exchange(
    paths: string[],
    answer: (sinks: AnswerSink[], responses: ServerResponse[]) => void,
    version = "1.1",
    onReceived: (text: string) => void = () => undefined,
): Promise<string> {
    const sinks: AnswerSink[] = [];
    const responses: ServerResponse[] = [];
    const server = createServer((_request, response: ServerResponse) => {
        sinks.push(
            createAnswerSink(response, "id", new AbortController().signal, { writeWhole: write => write(false) }),
        );
        responses.push(response);
        if (sinks.length === paths.length) {
            answer(sinks, responses);
        }
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const socket = connect(port, "127.0.0.1");
    for (const path of paths) {
        const connection = path === paths.at(-1) ? "close" : "keep-alive";
        socket.write(`GET ${path} HTTP/${version}\r\nHost: h\r\nConnection: ${connection}\r\n\r\n`);
    }
    let received = "";
    for await (const chunk of socket) {
        received += String(chunk);
        onReceived(String(chunk));
    }
    server.close();
    return received;
}

/** Writes a response of two chunks; the length of the second one has two hexadecimal digits. */
function stream(sink: AnswerSink, text: string): void {
    sink.writeHead(createHead());
    sink.write(Buffer.from(text));
    sink.write(Buffer.from(text.repeat(10)));
    sink.end();
}

describe("createAnswerSink", () => {
    it("writes each part of a stream as a chunk, followed by the last chunk", async () => {
        const received = await exchange(["/only"], ([sink]) => stream(sink!, "ab"));
        const [, body] = received.split("\r\n\r\n", 1).length === 1 ? received.split(/\r\n\r\n(.*)/s) : [];
        assert.equal(body, `2\r\nab\r\n14\r\n${"ab".repeat(10)}\r\n0\r\n\r\n`);
    });

    // Guards against a system call for each event when a late node reads several of a stream at once.
    it("writes the head and all events of a turn in one write, and events of a later turn in another", async () => {
        let writes = 0;
        const received = await exchange(["/only"], ([sink], [response]) => {
            const socket = response!.socket!;
            const { _write: write, _writev: writev } = socket;
            socket._write = (...parameters) => {
                writes += 1;
                write.apply(socket, parameters);
            };
            socket._writev = (...parameters) => {
                writes += 1;
                writev!.apply(socket, parameters);
            };
            sink!.writeHead(createHead());
            sink!.write(Buffer.from("ab"));
            sink!.write(Buffer.from("cd"));
            assert.equal(writes, 0);
            setImmediate(() => {
                assert.equal(writes, 1);
                sink!.write(Buffer.from("ef"));
                sink!.end();
                setImmediate(() => assert.equal(writes, 2));
            });
        });
        assert.ok(received.endsWith("\r\n\r\n2\r\nab\r\n2\r\ncd\r\n2\r\nef\r\n0\r\n\r\n"), received);
    });

    // Guards against the loss of events that arrived together with the failure of their stream.
    it("delivers the events of the turn in which a response is aborted", async () => {
        let received = "";
        await exchange(
            ["/only"],
            ([sink]) => {
                sink!.writeHead(createHead());
                sink!.write(Buffer.from("abc"));
                sink!.abort();
            },
            "1.1",
            text => received += text,
        ).catch(() => undefined);
        assert.match(received, /3\r\nabc/);
    });

    it("holds a pipelined response back until the ones before it are complete", async () => {
        const received = await exchange(["/first", "/second"], ([first, second]) => {
            stream(second!, "2");
            stream(first!, "1");
        });
        assert.ok(received.indexOf("1111111111") < received.indexOf("2222222222"), received);
        assert.equal(received.match(/\r\n0\r\n\r\n/g)?.length, 2);
        assert.equal(received.match(/HTTP\/1\.1 200/g)?.length, 2);
    });

    it("does not use chunks for a response with a length or for an HTTP/1.0 caller", async () => {
        const response = await exchange(["/only"], ([sink]) => {
            sink!.writeHead(createHead(["Content-Length", "3"]));
            sink!.write(Buffer.from("abc"));
            sink!.end();
        });
        assert.ok(response.endsWith("\r\n\r\nabc"), response);
        const old = await exchange(["/only"], ([sink]) => stream(sink!, "ab"), "1.0");
        assert.ok(old.endsWith(`\r\n\r\n${"ab".repeat(11)}`), old);
    });

    it("never completes a response that is aborted", async () => {
        const received = await exchange(["/only"], ([sink]) => {
            sink!.writeHead(createHead());
            sink!.write(Buffer.from("ab"));
            sink!.abort();
        }).catch(() => "");
        assert.ok(!received.includes("\r\n0\r\n\r\n"), received);
    });

    // A header that can't be written would otherwise be found only when the answer's turn comes, where the error ends the process.
    it("rejects a whole response with an invalid header before its turn comes", async () => {
        const received = await exchange(["/first", "/second"], ([first, second]) => {
            const answer = { head: createHead(["X-Name", "\n"]), body: Buffer.from("x") };
            assert.throws(() => sendCompleteAnswer(second!, answer), { code: "ERR_INVALID_CHAR" });
            second!.refuse({ reason: RefusalReason.OutcomeUnknown, message: "text" });
            stream(first!, "1");
        });
        assert.match(received, /^HTTP\/1.1 200 [^]*HTTP\/1.1 502 /);
    });

    // Aborting it closed the connection once its turn came. It and the requests behind it got nothing, although no byte of it was sent.
    it("refuses in place of a response that is aborted before its turn, and answers those behind it", async () => {
        const received = await exchange(["/first", "/second", "/third"], ([first, second, third]) => {
            second!.writeHead(createHead());
            second!.write(Buffer.from("half"));
            second!.abort();
            stream(third!, "3");
            stream(first!, "1");
        });
        assert.match(received, /^HTTP\/1.1 200 [^]*\r\n0\r\n\r\nHTTP\/1.1 502 [^]*\}HTTP\/1.1 200 [^]*\r\n0\r\n\r\n$/);
        assert.ok(!received.includes("half"), received);
    });

    // Node.js sent the head of an aborted response when its turn came, and its caller waited until its own deadline.
    it(
        "ends a connection whose last response is aborted before its turn, without a part of it",
        { timeout: 5_000 },
        async () => {
            const received = await exchange(["/first", "/second"], ([first, second]) => {
                second!.writeHead(createHead());
                second!.write(Buffer.from("half"));
                second!.abort();
                stream(first!, "ab");
            });
            assert.match(received, /^HTTP\/1.1 200 OK[^]*\r\n0\r\n\r\n(?![^]*\r\n0\r\n)/);
            assert.ok(!received.includes("half"), received);
        },
    );

    it("sends what a stream has written before its turn as soon as its turn comes", async () => {
        const received = await exchange(["/first", "/second"], ([first, second], [, response]) => {
            second!.writeHead(createHead());
            second!.write(Buffer.from("early"));
            stream(first!, "1");
            response!.once("socket", () =>
                setImmediate(() => {
                    second!.write(Buffer.from("late"));
                    second!.end();
                }));
        });
        assert.match(received, /1\r\n0\r\n\r\nHTTP\/1.1 200 [^]*\r\n\r\n5\r\nearly\r\n4\r\nlate\r\n0\r\n\r\n$/);
    });
});
