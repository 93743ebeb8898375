/** A consumer: sends one request on a channel and reads its answer. */
import { Buffer } from "node:buffer";
import { Agent, request as send } from "node:http";
import { clearTimeout, setTimeout } from "node:timers";

/** Chunks of an answer that are kept. */
const maximumChunks = 1_000;
let count = 0;

/** Creates a request id. */
export function createId(prefix = "r") {
    count += 1;
    return `${prefix}${count.toString(16).padStart(6, "0")}`;
}

/** Creates the channel of a consumer, which it keeps for its requests, one at a time. */
export function createChannel() {
    return new Agent({ keepAlive: true, maxSockets: 1 });
}

/** Sends a request and resolves with what came back; never rejects. */
export function call(port, { id = createId(), method = "POST", path, host = "one.example", headers = {}, body = "hello", deadline = 3_000, agent, bytesPerSecond = Infinity }) {
    const startedAt = Date.now();
    return new Promise(resolve => {
        const chunks = [];
        let status = 0;
        let answerHeaders = {};
        let isDone = false;
        const finish = end => {
            if (!isDone) {
                isDone = true;
                clearTimeout(timer);
                const text = Buffer.concat(chunks).toString("utf8");
                const milliseconds = Date.now() - startedAt;
                resolve({ id, status, headers: answerHeaders, text, end, milliseconds, isKept: message.reusedSocket });
            }
        };
        const message = send({
            host: "127.0.0.1",
            port,
            method,
            path,
            agent: agent ?? new Agent({ keepAlive: false }),
            headers: {
                "Host": host,
                "Request-Id": id,
                "Request-Deadline-Ms": String(deadline),
                "Content-Length": Buffer.byteLength(body),
                ...headers,
            },
        }, answer => {
            status = answer.statusCode;
            answerHeaders = answer.headers;
            answer.on("data", chunk => {
                if (chunks.length < maximumChunks) {
                    chunks.push(chunk);
                }
                if (bytesPerSecond < Infinity) {
                    answer.pause();
                    setTimeout(() => answer.resume(), chunk.length / bytesPerSecond * 1_000);
                }
            });
            answer.on("end", () => finish(answer.complete ? "complete" : "cut"));
            answer.on("error", () => finish("cut"));
            answer.on("close", () => finish(answer.complete ? "complete" : "cut"));
        });
        const timer = setTimeout(() => {
            finish("timeout");
            message.destroy();
        }, deadline + 1_000);
        message.on("error", () => finish(status === 0 ? "closed" : "cut"));
        message.end(body);
    });
}
