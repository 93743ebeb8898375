import type { GenerationSummary } from "./runGeneration.ts";

/** What all messages of one chat answer share. */
interface ChatAnswerFields {
    id: string;
    model: string;
    /** Seconds since the Unix epoch. */
    created: number;
}

/** The parts of a whole answer that are read back for a repeat. */
interface WholeAnswer {
    choices: [{ message: { content: string; }; finish_reason: "stop" | "length"; }];
}

/** Writes a chat answer in the shapes of OpenAI's chat completions, whole or as chunks. */
export class ChatAnswer {
    private readonly fields: ChatAnswerFields;

    private constructor(fields: ChatAnswerFields) {
        this.fields = fields;
    }

    /** Creates the shapes of one answer. */
    static create(fields: ChatAnswerFields): ChatAnswer {
        return new ChatAnswer(fields);
    }

    /** Data of an event that carries text. */
    createTextChunk(text: string): string {
        return this.createChunk({ role: "assistant", content: text }, undefined);
    }

    /** Data of the events that close a stream. */
    createLastChunks(finishReason: "stop" | "length"): string[] {
        return [this.createChunk({}, finishReason), "[DONE]"];
    }

    /** Body of a whole answer. */
    createWhole(text: string, summary: GenerationSummary): string {
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
     * Reads back the parts of a whole answer that this class wrote.
     * @param body - The body.
     */
    static readWhole(body: Buffer): { text: string; finishReason: "stop" | "length"; } {
        const answer = JSON.parse(body.toString("utf8")) as WholeAnswer;
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
