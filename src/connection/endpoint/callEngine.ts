import type { Dispatcher } from "undici";
import { readHeaderInstructions } from "../instructions/readHeaderInstructions.ts";
import { readLimitedText } from "../readLimitedText.ts";
import type { EngineAnswer } from "./engineAnswer.ts";

/** A call to an engine that is not a batch of passes. */
interface EngineCall {
    method: "GET" | "POST";
    path: string;
    /** Value that is sent as JSON. */
    body: object | undefined;
    timeoutMilliseconds: number;
}

/** Guards against engines that send endless responses. A status with thousands of layer ranges stays far below it. */
const maximumAnswerBytes = 1024 * 1024;

/**
 * Sends a call and reads its response.
 * @param dispatcher - Connection pool of the engine.
 * @throws If the response is not complete in time, is too long or is not JSON.
 */
export async function callEngine(dispatcher: Dispatcher, call: EngineCall): Promise<EngineAnswer> {
    const response = await dispatcher.request({
        method: call.method,
        path: call.path,
        body: call.body === undefined ? undefined : JSON.stringify(call.body),
        headers: { "content-type": "application/json" },
        signal: AbortSignal.timeout(call.timeoutMilliseconds),
    });
    const text = await readLimitedText(response.body, maximumAnswerBytes);
    const instructions = readHeaderInstructions(response.statusCode, response.headers);
    return { status: response.statusCode, instructions, body: text === "" ? undefined : JSON.parse(text) as unknown };
}
