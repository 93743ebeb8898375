import type { PassResult } from "../../connection/endpoint/engineProtocol.ts";
import { InvariantError } from "../../process/invariantError.ts";
import type { Chain, ChainStage } from "../chain/chain.ts";
import type { AttemptProgress } from "./attemptProgress.ts";
import type { GenerationStep, NextPass } from "./generationStep.ts";

/** Options for generating an answer. */
export interface GenerationOptions {
    request: string;
    model: string;
    /** Number of layers of the model. */
    layers: number;
    /** Prompt as text. The first stage tokenizes it. */
    prompt: string;
    maximumTokens: number;
    priority: number;
}

/**
 * State machine of one generated answer. Decides which pass to send next and whether to accept a result. Does no I/O.
 *
 * For each accepted token, the layer ranges of the accepted results cover every layer of the model exactly once, in
 * order. This is asserted. A later attempt rebuilds the context: it runs the prompt and the accepted tokens again on a
 * new chain. The rebuilt positions emit no text and are counted separately.
 */
export class Generation {
    private readonly options: GenerationOptions;
    private readonly acceptedTokens: number[] = [];
    private attempts = 0;
    private progress: AttemptProgress = createProgress(0, []);
    private promptPositions = 0;
    private rebuiltPositions = 0;
    private isEnded = false;

    private constructor(options: GenerationOptions) {
        this.options = options;
    }

    /** Creates the state of an answer that has not started. */
    static create(options: GenerationOptions): Generation {
        return new Generation(options);
    }

    /** Gets the number of attempts so far. */
    getAttemptCount(): number {
        return this.attempts;
    }

    /** Gets the number of tokens accepted so far. */
    getTokenCount(): number {
        return this.acceptedTokens.length;
    }

    /** Gets the number of positions of the prompt. 0 until the first stage has reported it. */
    getPromptPositions(): number {
        return this.promptPositions;
    }

    /** Gets the number of positions that ran again to rebuild the context on a new chain. */
    getRebuiltPositions(): number {
        return this.rebuiltPositions;
    }

    /** Gets the number of positions of the current pass, estimated from the prompt's length until it is known. */
    getEstimatedPositions(): number {
        const promptPositions = this.promptPositions || estimatePositions(this.options.prompt);
        return this.progress.positionCount || promptPositions + this.acceptedTokens.length;
    }

    /**
     * Starts a new attempt on a chain, with the prompt and the accepted tokens.
     * @param chain - Chain that covers each layer of the model exactly once.
     * @returns The pass for the first stage.
     * @throws InvariantError if the chain skips or repeats a layer.
     */
    startAttempt(chain: Chain): NextPass {
        assertTiles(chain, this.options.layers);
        this.attempts += 1;
        this.progress = createProgress(this.attempts, chain.stages);
        const isRebuild = this.attempts > 1 && this.promptPositions > 0;
        return {
            ...this.createPass(),
            text: this.options.prompt,
            tokens: [...this.acceptedTokens],
            rebuild: isRebuild,
        };
    }

    /** Gets how far the current attempt has got. The object changes with each result. */
    getProgress(): AttemptProgress {
        return this.progress;
    }

    /**
     * Continues an earlier attempt, from its last pass on.
     * @param progress - Progress of the attempt. No other attempt may have emitted a token since.
     * @throws InvariantError if the attempt lacks accepted tokens.
     */
    resumeAttempt(progress: AttemptProgress): void {
        const acceptedPositions = this.promptPositions + this.acceptedTokens.length;
        if (progress.position + progress.positionCount !== acceptedPositions) {
            throw InvariantError.create(
                "resumedAttemptIsComplete",
                "An attempt that lacks accepted tokens was resumed.",
            );
        }
        this.progress = progress;
    }

    /**
     * Handles the result of a pass.
     * @param result - Result with the outcome `done`.
     */
    acceptResult(result: PassResult): GenerationStep {
        const staleReason = this.getStaleReason(result);
        if (staleReason !== undefined) {
            return { kind: "stale", reason: staleReason };
        }
        const mismatch = this.getMismatch(result);
        if (mismatch !== undefined) {
            return { kind: "malformed", message: mismatch };
        }
        this.progress.positionCount = result.count;
        this.progress.nextLayer = result.layerEnd;
        if (result.layerEnd < this.options.layers) {
            return this.advanceToNextStage(result);
        }
        return this.acceptToken(result);
    }

    private advanceToNextStage(result: PassResult): GenerationStep {
        const stage = this.progress.stageIndex += 1;
        return { kind: "nextStage", stage, pass: { ...this.createPass(), hidden: result.hidden } };
    }

    private acceptToken(result: PassResult): GenerationStep {
        this.assertAllLayersRan();
        this.recordFirstPassPositions();
        const text = result.text ?? "";
        if (result.end === true) {
            return this.end(text, "stop");
        }
        this.acceptedTokens.push(result.token ?? 0);
        if (this.acceptedTokens.length >= this.options.maximumTokens) {
            return this.end(text, "length");
        }
        this.progress.position += this.progress.positionCount;
        this.progress.positionCount = 1;
        this.progress.stageIndex = 0;
        this.progress.nextLayer = 0;
        return { kind: "token", text, stage: 0, pass: { ...this.createPass(), tokens: [result.token ?? 0] } };
    }

    private end(text: string, finishReason: "stop" | "length"): GenerationStep {
        this.isEnded = true;
        return { kind: "ended", text, finishReason };
    }

    private recordFirstPassPositions(): void {
        if (this.progress.position > 0) {
            return;
        }
        if (this.promptPositions === 0) {
            this.promptPositions = this.progress.positionCount;
            return;
        }
        this.rebuiltPositions += this.progress.positionCount;
    }

    private createPass(): NextPass {
        const { attempt, stages, stageIndex, position } = this.progress;
        const { layerStart, layerEnd } = stages[stageIndex]!;
        const { request, model, priority } = this.options;
        return { request, attempt, model, position, layerStart, layerEnd, priority };
    }

    private getStaleReason(result: PassResult): "attempt" | "position" | "layers" | undefined {
        if (this.isEnded || result.attempt < this.progress.attempt) {
            return "attempt";
        }
        if (result.position < this.progress.position) {
            return "position";
        }
        return result.layerStart < this.progress.nextLayer ? "layers" : undefined;
    }

    /** Gets a message about how a result does not match the current pass, or undefined if it matches. */
    private getMismatch(result: PassResult): string | undefined {
        const stage = this.progress.stages[this.progress.stageIndex]!;
        if (result.request !== this.options.request || result.attempt !== this.progress.attempt) {
            return "The endpoint returned the result of a different request or attempt.";
        }
        if (result.position !== this.progress.position || result.layerStart !== this.progress.nextLayer) {
            return "The endpoint returned a result for a position or layer that was not sent.";
        }
        if (result.layerEnd !== stage.layerEnd) {
            return "The endpoint ran a different range of layers than the one requested.";
        }
        if (!this.isExpectedCount(result.count)) {
            return "The endpoint ran a different number of positions than the one sent.";
        }
        return this.getPayloadMismatch(result);
    }

    private isExpectedCount(count: number): boolean {
        if (this.progress.positionCount > 0) {
            return count === this.progress.positionCount;
        }
        const expected = this.promptPositions + this.acceptedTokens.length;
        return this.promptPositions === 0 ? count > 0 : count === expected;
    }

    private getPayloadMismatch(result: PassResult): string | undefined {
        if (result.layerEnd === this.options.layers) {
            return result.token === undefined ? "The last stage returned no token." : undefined;
        }
        return result.hidden?.length === result.count
            ? undefined
            : "The stage did not return the activations of each position.";
    }

    private assertAllLayersRan(): void {
        const { stageIndex, stages, nextLayer } = this.progress;
        if (this.isEnded || stageIndex !== stages.length - 1 || nextLayer !== this.options.layers) {
            throw InvariantError.create(
                "layersOnceInOrder",
                "A token was accepted before each layer had run exactly once.",
            );
        }
    }
}

function createProgress(attempt: number, stages: readonly ChainStage[]): AttemptProgress {
    return { attempt, stages, stageIndex: 0, position: 0, positionCount: 0, nextLayer: 0 };
}

function estimatePositions(prompt: string): number {
    const bytesPerToken = 4;
    return Math.max(1, Math.ceil(prompt.length / bytesPerToken));
}

function assertTiles(chain: Chain, layers: number): void {
    let nextLayer = 0;
    for (const stage of chain.stages) {
        if (stage.layerStart !== nextLayer || stage.layerEnd <= stage.layerStart) {
            throw InvariantError.create("chainTilesModel", `A chain skips or repeats layer ${nextLayer}.`);
        }
        nextLayer = stage.layerEnd;
    }
    if (nextLayer !== layers) {
        throw InvariantError.create(
            "chainTilesModel",
            `A chain ends at layer ${nextLayer} instead of ${layers}.`,
        );
    }
}
