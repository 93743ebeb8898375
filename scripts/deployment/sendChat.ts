import { createParser } from "eventsource-parser";
import { request } from "undici";

/** A chat request to send. */
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
}

/** What the caller saw. */
export interface ChatOutcome {
    status: number;
    text: string;
    chain: string;
    /** Whether the answer ended as it should. */
    isWhole: boolean;
    /** Code of the error, if any; `notRun` and so on in `outcome`. */
    errorCode: string;
    outcome: string;
    retryAfterMilliseconds: number;
    firstTokenMilliseconds: number;
    betweenTokensMilliseconds: number;
    /** Longest time between two pieces of the answer, in milliseconds. */
    longestGapMilliseconds: number;
}

/**
 * Sends a chat request and reads its whole answer.
 * @param options - The request.
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
        await readStream(response.body, startedAt, outcome);
        return outcome;
    }
    const body = await response.body.json() as WholeBody;
    outcome.firstTokenMilliseconds = performance.now() - startedAt;
    outcome.text = body.choices?.[0]?.message.content ?? "";
    outcome.isWhole = body.choices !== undefined;
    outcome.errorCode = body.error?.code ?? "";
    outcome.outcome = body.error?.outcome ?? "finished";
    return outcome;
}

/** The parts of a whole answer, or an error, that are read here. */
interface WholeBody {
    choices?: { message: { content: string; }; }[];
    error?: { code: string; outcome: string; };
}

/** The parts of an event that are read here. */
interface EventBody {
    choices?: { delta: { content?: string; }; }[];
    error?: { code: string; outcome: string; };
}

function createOutcome(status: number, headers: Record<string, string | string[] | undefined>): ChatOutcome {
    return {
        status,
        text: "",
        chain: String(headers["x-foxlead-chain"] ?? ""),
        isWhole: false,
        errorCode: "",
        outcome: "cut",
        retryAfterMilliseconds: Number(headers["retry-after-ms"] ?? 0),
        firstTokenMilliseconds: 0,
        betweenTokensMilliseconds: 0,
        longestGapMilliseconds: 0,
    };
}

async function readStream(
    body: AsyncIterable<Buffer>,
    startedAt: number,
    outcome: ChatOutcome,
): Promise<void> {
    let lastAt = startedAt;
    let events = 0;
    const parser = createParser({
        onEvent: event => {
            const now = performance.now();
            if (event.data === "[DONE]") {
                outcome.isWhole = true;
                outcome.outcome = "finished";
                return;
            }
            const parsed = JSON.parse(event.data) as EventBody;
            outcome.errorCode = parsed.error?.code ?? "";
            outcome.outcome = parsed.error?.outcome ?? outcome.outcome;
            const text = parsed.choices?.[0]?.delta.content;
            if (text === undefined) {
                return;
            }
            outcome.text += text;
            if (events === 0) {
                outcome.firstTokenMilliseconds = now - startedAt;
            }
            else {
                outcome.longestGapMilliseconds = Math.max(outcome.longestGapMilliseconds, now - lastAt);
            }
            events += 1;
            lastAt = now;
        },
    });
    const decoder = new TextDecoder();
    for await (const chunk of body) {
        parser.feed(decoder.decode(chunk, { stream: true }));
    }
    const tokensAfterFirst = Math.max(1, events - 1);
    outcome.betweenTokensMilliseconds = (lastAt - startedAt - outcome.firstTokenMilliseconds) / tokensAfterFirst;
}
