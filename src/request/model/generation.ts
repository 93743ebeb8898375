import type { PassResult } from "../../connection/endpoint/engineProtocol.ts";
import { InvariantError } from "../../process/invariantError.ts";
import type { Chain, ChainStage } from "../chain/chain.ts";
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
    private stages: readonly ChainStage[] = [];
    private attempt = 0;
    private stageIndex = 0;
    /** First position of the current pass. */
    private position = 0;
    /** Number of positions of the current pass. 0 until the first stage has reported it. */
    private positionCount = 0;
    /** First layer that the current positions have not run yet. The invariant depends on it. */
    private nextLayer = 0;
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

    /** Gets the number of the current attempt, starting at 1. */
    getAttempt(): number {
        return this.attempt;
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
        return this.positionCount || promptPositions + this.acceptedTokens.length;
    }

    /**
     * Starts a new attempt on a chain, with the prompt and the accepted tokens.
     * @param chain - Chain that covers each layer of the model exactly once.
     * @returns The pass for the first stage.
     * @throws InvariantError if the chain skips or repeats a layer.
     */
    startAttempt(chain: Chain): NextPass {
        assertTiles(chain, this.options.layers);
        this.stages = chain.stages;
        this.attempt += 1;
        this.stageIndex = 0;
        this.position = 0;
        this.positionCount = 0;
        this.nextLayer = 0;
        const isRebuild = this.attempt > 1 && this.promptPositions > 0;
        return {
            ...this.createPass(),
            text: this.options.prompt,
            tokens: [...this.acceptedTokens],
            rebuild: isRebuild,
        };
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
        this.positionCount = result.count;
        this.nextLayer = result.layerEnd;
        if (this.nextLayer < this.options.layers) {
            return this.advanceToNextStage(result);
        }
        return this.acceptToken(result);
    }

    private advanceToNextStage(result: PassResult): GenerationStep {
        this.stageIndex += 1;
        return { kind: "nextStage", stage: this.stageIndex, pass: { ...this.createPass(), hidden: result.hidden } };
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
        this.position += this.positionCount;
        this.positionCount = 1;
        this.stageIndex = 0;
        this.nextLayer = 0;
        return { kind: "token", text, stage: 0, pass: { ...this.createPass(), tokens: [result.token ?? 0] } };
    }

    private end(text: string, finishReason: "stop" | "length"): GenerationStep {
        this.isEnded = true;
        return { kind: "ended", text, finishReason };
    }

    private recordFirstPassPositions(): void {
        if (this.position > 0) {
            return;
        }
        if (this.promptPositions === 0) {
            this.promptPositions = this.positionCount;
            return;
        }
        this.rebuiltPositions += this.positionCount;
    }

    private createPass(): NextPass {
        const { layerStart, layerEnd } = this.stages[this.stageIndex]!;
        const { request, model, priority } = this.options;
        const { attempt, position } = this;
        return { request, attempt, model, position, layerStart, layerEnd, priority };
    }

    private getStaleReason(result: PassResult): "attempt" | "position" | "layers" | undefined {
        if (this.isEnded || result.attempt < this.attempt) {
            return "attempt";
        }
        if (result.position < this.position) {
            return "position";
        }
        return result.layerStart < this.nextLayer ? "layers" : undefined;
    }

    /** Gets a message about how a result does not match the current pass, or undefined if it matches. */
    private getMismatch(result: PassResult): string | undefined {
        const stage = this.stages[this.stageIndex]!;
        if (result.request !== this.options.request || result.attempt !== this.attempt) {
            return "The endpoint returned the result of a different request or attempt.";
        }
        if (result.position !== this.position || result.layerStart !== this.nextLayer) {
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
        if (this.positionCount > 0) {
            return count === this.positionCount;
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
        if (this.isEnded || this.stageIndex !== this.stages.length - 1 || this.nextLayer !== this.options.layers) {
            throw InvariantError.create(
                "layersOnceInOrder",
                "A token was accepted before each layer had run exactly once.",
            );
        }
    }
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
