import type { Dispatcher } from "undici";
import type { EngineAnswer } from "./engineAnswer.ts";

/** A small call to an engine. */
interface EngineCall {
    method: "GET" | "POST";
    path: string;
    /** Sent as JSON. */
    body: object | undefined;
    timeoutMilliseconds: number;
}

/** Engines are not trusted to end their answers; a status with thousands of layer ranges stays far below this. */
const maximumAnswerBytes = 1024 * 1024;

/**
 * Sends a call and reads its answer, a bounded one.
 * @param dispatcher - Connections to the engine.
 * @param call - The call.
 * @throws Error where no whole answer came in time, it is no JSON, or it is too long.
 */
export async function callEngine(dispatcher: Dispatcher, call: EngineCall): Promise<EngineAnswer> {
    const response = await dispatcher.request({
        method: call.method,
        path: call.path,
        body: call.body === undefined ? undefined : JSON.stringify(call.body),
        headers: { "content-type": "application/json" },
        signal: AbortSignal.timeout(call.timeoutMilliseconds),
    });
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
        bytes += chunk.length;
        if (bytes > maximumAnswerBytes) {
            throw new RangeError(`The answer to ${call.path} is longer than ${maximumAnswerBytes} bytes.`);
        }
        chunks.push(chunk);
    }
    const text = Buffer.concat(chunks).toString("utf8");
    return { status: response.statusCode, body: text === "" ? undefined : JSON.parse(text) as unknown };
}
