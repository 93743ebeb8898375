import { createParser } from "eventsource-parser";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";

/** Options of {@link sendChat}. */
interface ChatOptions {
    /** host:port of a node's caller listener. */
    address: string;
    apiKey: string;
    service: string;
    prompt: string;
    maximumTokens: number;
    isStreamed: boolean;
    idempotencyKey?: string;
    signal?: AbortSignal;
    /** Delay after each chunk of a streamed response, to simulate a slow reader, in milliseconds. */
    readDelayMilliseconds?: number;
    /** Called after each event of a stream, with the response up to then. */
    onProgress?(soFar: ChatOutcome): void;
}

/** The response to a chat request as its caller saw it. */
export interface ChatOutcome {
    status: number;
    text: string;
    chain: string;
    /** Whether the response is complete. */
    isComplete: boolean;
    /** Error code; empty if there is none. */
    errorCode: string;
    /** `finished`, `cut`, or the outcome that the error states, such as `notRun`. */
    outcome: string;
    /** Message of the error response or of the connection error. */
    errorMessage: string;
    /** Whether the response is a replay of the stored one for the same idempotency key. */
    isReplayed: boolean;
    retryAfterMilliseconds: number;
    firstTokenMilliseconds: number;
    betweenTokensMilliseconds: number;
    /** Longest time between two events of the response, in milliseconds. */
    longestGapMilliseconds: number;
}

/**
 * Sends a chat request and reads the complete response. An interrupted response has the outcome `cut`.
 * @throws Error if the connection fails before the response starts.
 */
export async function sendChat(options: ChatOptions): Promise<ChatOutcome> {
    const startedAt = performance.now();
    const headers: Record<string, string> = {
        authorization: `Bearer ${options.apiKey}`,
        "content-type": "application/json",
    };
    if (options.idempotencyKey !== undefined) {
        headers["idempotency-key"] = options.idempotencyKey;
    }
    const response = await request(`http://${options.address}/v1/chat/completions`, {
        method: "POST",
        headers,
        body: JSON.stringify({
            model: options.service,
            stream: options.isStreamed,
            max_tokens: options.maximumTokens,
            messages: [{ role: "user", content: options.prompt }],
        }),
        signal: options.signal,
        headersTimeout: 60_000,
        bodyTimeout: 60_000,
    });
    const outcome = createOutcome(response.statusCode, response.headers);
    if (response.headers["content-type"]?.includes("event-stream") === true) {
        await readStream(response.body, startedAt, outcome, options);
        return outcome;
    }
    const body = await readCompletion(response.body, outcome);
    outcome.firstTokenMilliseconds = performance.now() - startedAt;
    if (body !== undefined) {
        outcome.text = body.choices?.[0]?.message.content ?? "";
        outcome.isComplete = body.choices !== undefined;
        setError(outcome, body.error ?? { code: "", outcome: "finished", message: "" });
    }
    return outcome;
}

/** The parts of an error that are read here. */
interface ErrorPart {
    code: string;
    outcome: string;
    message: string;
}

/** The parts of a response without streaming that are read here. */
interface CompletionBody {
    choices?: { message: { content: string; }; }[];
    error?: ErrorPart;
}

/** The parts of an event that are read here. */
interface EventBody {
    choices?: { delta: { content?: string; }; }[];
    error?: ErrorPart;
}

function createOutcome(status: number, headers: Record<string, string | string[] | undefined>): ChatOutcome {
    return {
        status,
        text: "",
        chain: String(headers["x-foxlead-chain"] ?? ""),
        isComplete: false,
        errorCode: "",
        outcome: "cut",
        errorMessage: "",
        isReplayed: headers["x-foxlead-replayed"] === "true",
        retryAfterMilliseconds: Number(headers["retry-after-ms"] ?? 0),
        firstTokenMilliseconds: 0,
        betweenTokensMilliseconds: 0,
        longestGapMilliseconds: 0,
    };
}

function setError(outcome: ChatOutcome, error: ErrorPart): void {
    outcome.errorCode = error.code;
    outcome.outcome = error.outcome;
    outcome.errorMessage = error.message;
}

async function readCompletion(
    body: { json(): Promise<unknown>; },
    outcome: ChatOutcome,
): Promise<CompletionBody | undefined> {
    try {
        return await body.json() as CompletionBody;
    }
    catch (error) {
        outcome.errorMessage = String(error);
        return undefined;
    }
}

/** Updates the outcome with an event of the stream, and returns the text of the event, if any. */
function applyEvent(data: string, outcome: ChatOutcome): string | undefined {
    if (data === "[DONE]") {
        outcome.isComplete = true;
        outcome.outcome = "finished";
        return undefined;
    }
    const parsed = JSON.parse(data) as EventBody;
    if (parsed.error !== undefined) {
        setError(outcome, parsed.error);
    }
    return parsed.choices?.[0]?.delta.content;
}

async function readStream(
    body: AsyncIterable<Buffer>,
    startedAt: number,
    outcome: ChatOutcome,
    { readDelayMilliseconds = 0, onProgress }: ChatOptions,
): Promise<void> {
    let lastEventAt = startedAt;
    let events = 0;
    const parser = createParser({
        onEvent: event => {
            const now = performance.now();
            const text = applyEvent(event.data, outcome);
            if (text === undefined) {
                return;
            }
            outcome.text += text;
            if (events === 0) {
                outcome.firstTokenMilliseconds = now - startedAt;
            }
            else {
                outcome.longestGapMilliseconds = Math.max(outcome.longestGapMilliseconds, now - lastEventAt);
            }
            events += 1;
            lastEventAt = now;
            onProgress?.(outcome);
        },
    });
    const decoder = new TextDecoder();
    try {
        for await (const chunk of body) {
            parser.feed(decoder.decode(chunk, { stream: true }));
            if (readDelayMilliseconds > 0) {
                await sleep(readDelayMilliseconds);
            }
        }
    }
    catch (error) {
        outcome.errorMessage = String(error);
    }
    const tokensAfterFirst = Math.max(1, events - 1);
    outcome.betweenTokensMilliseconds = (lastEventAt - startedAt - outcome.firstTokenMilliseconds) / tokensAfterFirst;
}
