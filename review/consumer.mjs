// A consumer's attempt: one request on a new channel, with all that came back.
import { Buffer } from "node:buffer";
import { request as startRequest } from "node:http";
import { performance } from "node:perf_hooks";

/**
 * Sends a request. The result has status 0 if no answer has begun, and isComplete only if the whole answer has arrived.
 */
export function send({ address, method, path, headers = {}, body = "", timeoutMilliseconds }) {
    const [host, port] = address.split(":");
    const sentAt = performance.now();
    return new Promise(resolve => {
        const chunks = [];
        const answer = { status: 0, headers: {}, isComplete: false, error: "" };
        const finish = () =>
            resolve({ ...answer, body: Buffer.concat(chunks), milliseconds: Math.round(performance.now() - sentAt) });
        const request = startRequest({ host, port, method, path, headers, agent: false }, response => {
            answer.status = response.statusCode;
            answer.headers = response.headers;
            response.on("data", chunk => chunks.push(chunk));
            response.on("error", error => {
                answer.error = error.code ?? error.message;
            });
            response.on("close", () => {
                answer.isComplete = response.complete;
                finish();
            });
        });
        request.setTimeout(timeoutMilliseconds, () => request.destroy(new Error("timeout")));
        request.on("error", error => {
            answer.error = error.code ?? error.message;
            finish();
        });
        request.end(body);
    });
}
