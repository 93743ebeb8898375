import type { Dispatcher } from "undici";
import type { AnswerInstructions } from "../instructions/answerInstructions.ts";
import { readHeaderInstructions } from "../instructions/readHeaderInstructions.ts";
import { LineSplitter } from "../lineSplitter.ts";
import type { BatchCloseInfo } from "./batchCloseInfo.ts";
import type { Pass, PassResult } from "./engineProtocol.ts";
import { isConnectFailure } from "./isConnectFailure.ts";
import { passResultSchema } from "./passResultSchema.ts";

/** Options of {@link sendPassBatch}. */
interface PassBatchOptions {
    dispatcher: Dispatcher;
    passes: readonly Pass[];
    /** Called with the instructions of the answer, before its results. */
    onInstructions(instructions: AnswerInstructions): void;
    /** Called for each result as it arrives. */
    onResult(result: PassResult): void;
    /** Called once when the response has ended, with or without all results. */
    onClosed(closing: BatchCloseInfo): void;
}

/** A result line contains the activations of a complete prompt. */
const maximumLineBytes = 16 * 1024 * 1024;

/**
 * Sends one batch of passes and reads the results line by line.
 */
export function sendPassBatch(options: PassBatchOptions): void {
    const controller = new AbortController();
    const splitter = LineSplitter.create({
        maximumLineBytes,
        onLine: line => options.onResult(parsePassResult(line)),
    });
    const reading = readResponse(options, splitter, controller.signal);
    reading.then(reason => options.onClosed({ reason, mayHaveArrived: true }), (error: unknown) => {
        controller.abort();
        const reason = error instanceof Error ? error.message : String(error);
        options.onClosed({ reason, mayHaveArrived: !isConnectFailure(error) });
    });
}

async function readResponse(options: PassBatchOptions, splitter: LineSplitter, signal: AbortSignal): Promise<string> {
    const response = await options.dispatcher.request({
        method: "POST",
        path: "/v1/passes",
        body: JSON.stringify({ passes: options.passes }),
        headers: { "content-type": "application/json" },
        signal,
    });
    options.onInstructions(readHeaderInstructions(response.statusCode, response.headers));
    if (response.statusCode !== 200) {
        await response.body.dump();
        return `status ${response.statusCode}`;
    }
    for await (const chunk of response.body) {
        splitter.push(chunk as Buffer);
    }
    return "the response ended";
}

function parsePassResult(line: string): PassResult {
    return passResultSchema.parse(JSON.parse(line));
}
