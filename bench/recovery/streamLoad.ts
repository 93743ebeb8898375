import type { RandomSource } from "../../src/process/randomSource.ts";
import { computeReferenceAnswer } from "../../standins/engine/referenceModel.ts";
import type { Router } from "./router.ts";

/** Options of a {@link StreamLoad}. */
interface StreamLoadOptions {
    router: Router;
    layers: number;
    streams: number;
    random: RandomSource;
}

/** Record of one answer from its caller's view. */
export interface StreamRecord {
    startedAt: number;
    /** Endpoints of the chain in use. */
    endpoints: string[];
    /** Monotonic times of the tokens, in milliseconds. */
    tokenTimes: number[];
    /** Undefined while the answer is in progress. */
    endedAt: number | undefined;
}

const promptWordCount = 60;
const vocabulary = ["salary", "tariff", "deduction", "ward", "contract", "letter", "month", "household", "receipt"];
const minimumAnswerTokens = 60;
const maximumAnswerTokens = 140;
const staggerMilliseconds = 1_000;
const millisecondsPerSecond = 1_000;

/** Keeps a fixed number of streams in flight. Each stream requests its next answer when the previous one has ended. */
export class StreamLoad {
    /** All answers, in the order of their starts. */
    readonly records: StreamRecord[] = [];
    /** Number of answers that were incomplete or differed from the reference model's. */
    wrongAnswers = 0;
    private readonly options: StreamLoadOptions;
    private readonly controller = new AbortController();
    private readonly running: Promise<void>[] = [];
    private nextAnswer = 1;

    private constructor(options: StreamLoadOptions) {
        this.options = options;
    }

    /** Starts the streams, spread over the first second. */
    static start(options: StreamLoadOptions): StreamLoad {
        const load = new StreamLoad(options);
        for (let stream = 0; stream < options.streams; stream += 1) {
            load.running.push(load.runStream(options.random() * staggerMilliseconds));
        }
        return load;
    }

    /** Gets the answers in progress. */
    getRunning(): StreamRecord[] {
        return this.records.filter(record => record.endedAt === undefined);
    }

    /**
     * Gets the tokens per second of all streams between two times.
     * @param from - Monotonic time in milliseconds.
     * @param to - Monotonic time in milliseconds.
     */
    getRate(from: number, to: number): number {
        let tokens = 0;
        for (const record of this.records) {
            for (const time of record.tokenTimes) {
                tokens += time >= from && time < to ? 1 : 0;
            }
        }
        return tokens * millisecondsPerSecond / (to - from);
    }

    /** Cancels all answers and waits until they have ended. */
    async stop(): Promise<void> {
        this.controller.abort();
        await Promise.all(this.running);
    }

    private async runStream(delayMilliseconds: number): Promise<void> {
        await new Promise(resolve => setTimeout(resolve, delayMilliseconds));
        while (!this.controller.signal.aborted) {
            await this.runAnswer();
        }
    }

    private async runAnswer(): Promise<void> {
        const { router, layers, random } = this.options;
        const record: StreamRecord = {
            startedAt: performance.now(),
            endpoints: [],
            tokenTimes: [],
            endedAt: undefined,
        };
        this.records.push(record);
        const prompt = createPrompt(random);
        const maximumTokens = Math.floor(minimumAnswerTokens + random() * (maximumAnswerTokens - minimumAnswerTokens));
        let text = "";
        const isComplete = await router.generate({
            id: `answer-${this.nextAnswer++}-${performance.timeOrigin + performance.now()}`,
            prompt,
            maximumTokens,
            signal: this.controller.signal,
            onChain: chain => {
                record.endpoints = chain.stages.map(stage => stage.endpoint);
            },
            onText: piece => {
                record.tokenTimes.push(performance.now());
                text += piece;
            },
        });
        record.endedAt = performance.now();
        if (this.controller.signal.aborted) {
            return;
        }
        const isCorrect = isComplete
            && text === computeReferenceAnswer({ modelLayers: layers, prompt, maximumTokens }).text;
        this.wrongAnswers += isCorrect ? 0 : 1;
    }
}

function createPrompt(random: RandomSource): string {
    const words: string[] = [];
    for (let index = 0; index < promptWordCount; index += 1) {
        words.push(vocabulary[Math.floor(random() * vocabulary.length)]!);
    }
    return words.join(" ");
}
