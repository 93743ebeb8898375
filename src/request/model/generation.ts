import type { PassResult } from "../../connection/endpoint/engineProtocol.ts";
import { InvariantError } from "../../process/invariantError.ts";
import type { Chain, ChainStage } from "../chain/chain.ts";
import type { GenerationStep, NextPass } from "./generationStep.ts";

/** What an answer is generated from. */
export interface GenerationOptions {
    request: string;
    model: string;
    /** Layers of the model. */
    layers: number;
    /** Prompt as text; the first stage turns it into tokens. */
    prompt: string;
    maximumTokens: number;
    priority: number;
}

/**
 * The decisions of one generated answer: which pass comes next, and whether a result is accepted. It does no I/O.
 *
 * For each accepted token the layer ranges of the accepted results tile the model once, in order; this is asserted. A
 * rebuilt context (a later attempt) runs the prompt and the accepted tokens again over a new chain; its positions emit
 * nothing and are counted apart.
 */
export class Generation {
    private readonly options: GenerationOptions;
    private readonly acceptedTokens: number[] = [];
    private stages: readonly ChainStage[] = [];
    private attempt = 0;
    private stage = 0;
    /** First position of the pass that runs. */
    private position = 0;
    /** Positions of the pass that runs; 0 until the first stage has counted the prompt. */
    private count = 0;
    /** Layer from which the running positions go on; the invariant rests on it. */
    private nextLayer = 0;
    private promptPositions = 0;
    private rebuiltPositions = 0;
    private isEnded = false;

    private constructor(options: GenerationOptions) {
        this.options = options;
    }

    /** Creates the state of an answer of which nothing has run. */
    static create(options: GenerationOptions): Generation {
        return new Generation(options);
    }

    /** Number of the running attempt; 1 for the first. */
    getAttempt(): number {
        return this.attempt;
    }

    /** Tokens that were accepted so far. */
    getTokenCount(): number {
        return this.acceptedTokens.length;
    }

    /** Positions of the prompt; 0 until the first stage has counted them. */
    getPromptPositions(): number {
        return this.promptPositions;
    }

    /** Positions that ran again to rebuild the context on a new chain. */
    getRebuiltPositions(): number {
        return this.rebuiltPositions;
    }

    /** Positions of the running pass, estimated from the prompt's length while they are not known. */
    getEstimatedPositions(): number {
        const promptPositions = this.promptPositions || estimatePositions(this.options.prompt);
        return this.count || promptPositions + this.acceptedTokens.length;
    }

    /**
     * Starts over on a chain, from the prompt and the accepted tokens.
     * @param chain - Stages that tile the model.
     * @returns The pass for the first stage.
     * @throws InvariantError where the chain does not tile the model.
     */
    startAttempt(chain: Chain): NextPass {
        assertTiles(chain, this.options.layers);
        this.stages = chain.stages;
        this.attempt += 1;
        this.stage = 0;
        this.position = 0;
        this.count = 0;
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
     * Takes the result of a pass.
     * @param result - A result with the outcome `done`.
     */
    accept(result: PassResult): GenerationStep {
        const staleReason = this.getStaleReason(result);
        if (staleReason !== undefined) {
            return { kind: "stale", reason: staleReason };
        }
        const fault = this.getFault(result);
        if (fault !== undefined) {
            return { kind: "malformed", message: fault };
        }
        this.count = result.count;
        this.nextLayer = result.layerEnd;
        if (this.nextLayer < this.options.layers) {
            return this.goToNextStage(result);
        }
        return this.acceptToken(result);
    }

    private goToNextStage(result: PassResult): GenerationStep {
        this.stage += 1;
        return { kind: "nextStage", stage: this.stage, pass: { ...this.createPass(), hidden: result.hidden } };
    }

    private acceptToken(result: PassResult): GenerationStep {
        this.assertWhole();
        this.countPositions();
        const text = result.text ?? "";
        if (result.end === true) {
            return this.end(text, "stop");
        }
        this.acceptedTokens.push(result.token ?? 0);
        if (this.acceptedTokens.length >= this.options.maximumTokens) {
            return this.end(text, "length");
        }
        this.position += this.count;
        this.count = 1;
        this.stage = 0;
        this.nextLayer = 0;
        return { kind: "token", text, stage: 0, pass: { ...this.createPass(), tokens: [result.token ?? 0] } };
    }

    private end(text: string, finishReason: "stop" | "length"): GenerationStep {
        this.isEnded = true;
        return { kind: "ended", text, finishReason };
    }

    private countPositions(): void {
        if (this.position > 0) {
            return;
        }
        if (this.promptPositions === 0) {
            this.promptPositions = this.count;
            return;
        }
        this.rebuiltPositions += this.count;
    }

    private createPass(): NextPass {
        const { layerStart, layerEnd } = this.stages[this.stage]!;
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

    /** Tells what about a result does not fit the running pass, or undefined. */
    private getFault(result: PassResult): string | undefined {
        const stage = this.stages[this.stage]!;
        if (result.request !== this.options.request || result.attempt !== this.attempt) {
            return "The endpoint answered for another request or attempt.";
        }
        if (result.position !== this.position || result.layerStart !== this.nextLayer) {
            return "The endpoint answered for a position or layer that has not been sent.";
        }
        if (result.layerEnd !== stage.layerEnd) {
            return "The endpoint ran another range of layers than it was sent.";
        }
        if (!this.isExpectedCount(result.count)) {
            return "The endpoint ran another number of positions than it was sent.";
        }
        return this.getPayloadFault(result);
    }

    private isExpectedCount(count: number): boolean {
        if (this.count > 0) {
            return count === this.count;
        }
        const expected = this.promptPositions + this.acceptedTokens.length;
        return this.promptPositions === 0 ? count > 0 : count === expected;
    }

    private getPayloadFault(result: PassResult): string | undefined {
        if (result.layerEnd === this.options.layers) {
            return result.token === undefined ? "The last stage brought no token." : undefined;
        }
        return result.hidden?.length === result.count ? undefined : "The stage brought no activations a position.";
    }

    private assertWhole(): void {
        if (this.isEnded || this.stage !== this.stages.length - 1 || this.nextLayer !== this.options.layers) {
            throw InvariantError.create("layersOnceInOrder", "A token was accepted whose layers did not all run once.");
        }
    }
}

function estimatePositions(prompt: string): number {
    const BytesPerToken = 4;
    return Math.max(1, Math.ceil(prompt.length / BytesPerToken));
}

function assertTiles(chain: Chain, layers: number): void {
    let nextLayer = 0;
    for (const stage of chain.stages) {
        if (stage.layerStart !== nextLayer || stage.layerEnd <= stage.layerStart) {
            throw InvariantError.create("chainTilesModel", `A chain leaves out or repeats layer ${nextLayer}.`);
        }
        nextLayer = stage.layerEnd;
    }
    if (nextLayer !== layers) {
        throw InvariantError.create("chainTilesModel", `A chain ends at layer ${nextLayer} of ${layers}.`);
    }
}
