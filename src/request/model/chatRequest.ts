import * as z from "zod";
import { Err, Ok, type Result } from "../../result.ts";
import { RequestError } from "../requestError.ts";

const contentPartSchema = z.object({ type: z.literal("text"), text: z.string() });
const messageSchema = z.object({
    role: z.string(),
    content: z.union([z.string(), z.array(contentPartSchema)]),
});
const chatRequestSchema = z.object({
    model: z.string(),
    messages: z.array(messageSchema).min(1),
    stream: z.boolean().optional(),
    max_tokens: z.number().int().positive().optional(),
    max_completion_tokens: z.number().int().positive().optional(),
});

/** A validated request for a chat completion. */
export interface ChatRequest {
    service: string;
    /** The messages, rendered as one text. */
    prompt: string;
    isStreamed: boolean;
    /** Undefined if the caller sets no limit. */
    maximumTokens: number | undefined;
}

/**
 * Parses and validates the body of `POST /v1/chat/completions`.
 * @param body - Body in UTF-8.
 */
export function parseChatRequest(body: Buffer): Result<ChatRequest, RequestError> {
    let value: unknown;
    try {
        value = JSON.parse(body.toString("utf8"));
    }
    catch {
        return Err(RequestError.invalid(400, "invalid_json", "The body is not valid JSON. Send a JSON object."));
    }
    const parsed = chatRequestSchema.safeParse(value);
    if (!parsed.success) {
        const issue = parsed.error.issues[0]!;
        const message = `The body's ${issue.path.join(".") || "value"} is invalid: ${issue.message}.`;
        return Err(RequestError.invalid(400, "invalid_body", message));
    }
    const { model, messages, stream, max_tokens, max_completion_tokens } = parsed.data;
    return Ok({
        service: model,
        prompt: messages.map(renderMessage).join("\n"),
        isStreamed: stream ?? false,
        maximumTokens: max_completion_tokens ?? max_tokens,
    });
}

function renderMessage(message: z.infer<typeof messageSchema>): string {
    const { role, content } = message;
    const text = typeof content === "string" ? content : content.map(part => part.text).join(" ");
    return `${role}: ${text}`;
}
