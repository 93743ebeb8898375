import type { GenerationSummary } from "./runGeneration.ts";

/** Fields that all messages of one chat answer share. */
interface ChatAnswerFields {
    id: string;
    model: string;
    /** Seconds since the Unix epoch. */
    created: number;
}

/** Fields of a chat completion that are needed to replay it. */
interface ChatCompletion {
    choices: [{ message: { content: string; }; finish_reason: "stop" | "length"; }];
}

/** Formats a chat answer as an OpenAI chat completion, in one body or as stream chunks. */
export class ChatAnswer {
    private readonly fields: ChatAnswerFields;

    private constructor(fields: ChatAnswerFields) {
        this.fields = fields;
    }

    /** Creates the formatter of one answer. */
    static create(fields: ChatAnswerFields): ChatAnswer {
        return new ChatAnswer(fields);
    }

    /** Creates the event data of a chunk with text. */
    createTextChunk(text: string): string {
        return this.createChunk({ role: "assistant", content: text }, undefined);
    }

    /** Creates the event data of the chunks that end a stream. */
    createFinalChunks(finishReason: "stop" | "length"): string[] {
        return [this.createChunk({}, finishReason), "[DONE]"];
    }

    /** Creates the body of a complete answer. */
    createCompletion(text: string, summary: GenerationSummary): string {
        return JSON.stringify({
            ...this.fields,
            object: "chat.completion",
            choices: [
                { index: 0, message: { role: "assistant", content: text }, finish_reason: summary.finishReason },
            ],
            usage: {
                prompt_tokens: summary.promptPositions,
                completion_tokens: summary.tokens,
                total_tokens: summary.promptPositions + summary.tokens,
            },
        });
    }

    /**
     * Parses the text and finish reason of a body created by {@link ChatAnswer.createCompletion}.
     * @param body - Body in UTF-8.
     */
    static parseCompletion(body: Buffer): { text: string; finishReason: "stop" | "length"; } {
        const answer = JSON.parse(body.toString("utf8")) as ChatCompletion;
        const choice = answer.choices[0];
        return { text: choice.message.content, finishReason: choice.finish_reason };
    }

    private createChunk(delta: object, finishReason: string | undefined): string {
        return JSON.stringify({
            ...this.fields,
            object: "chat.completion.chunk",
            choices: [{ index: 0, delta, finish_reason: finishReason ?? null }],
        });
    }
}
