import type { EngineConnection } from "../../connection/endpoint/engineConnection.ts";
import type { PassResult } from "../../connection/endpoint/engineProtocol.ts";
import type { PassFailure } from "../../connection/endpoint/passFailure.ts";
import type { Clock } from "../../process/clock.ts";
import { Err, Ok, type Result } from "../../result.ts";
import type { Chain } from "../chain/chain.ts";
import type { ChainChooser } from "../chain/chainChooser.ts";
import type { NotRunPermit } from "../notRunPermit.ts";
import { RequestError } from "../requestError.ts";
import { ChainSelection } from "./chainSelection.ts";
import { Generation, type GenerationOptions } from "./generation.ts";
import type { GenerationObserver } from "./generationObserver.ts";
import { GenerationRetries } from "./generationRetries.ts";
import type { GenerationStep } from "./generationStep.ts";
import { SlowStageDetector } from "./slowStageDetector.ts";

/** Options for running a generation. */
export interface RunGenerationOptions extends GenerationOptions {
    dataCentre: string;
    permit: NotRunPermit;
    /** Aborts when the answer is no longer needed or the node is forced to stop. */
    signal: AbortSignal;
    /** Aborts when the node is forced to stop. */
    stopSignal: AbortSignal;
    chooser: ChainChooser;
    clock: Clock;
    observer: GenerationObserver;
    getConnection(endpoint: string): EngineConnection | undefined;
    /** Gets the time in milliseconds until an engine that has asked for a pause accepts passes again; undefined if none has. */
    getPauseMilliseconds(): number | undefined;
    /** Called with each chain before its first pass. */
    onChainChosen(chain: Chain): void;
    /** Called with the text of each accepted token, in order. Not called for empty texts. */
    onText(text: string): void;
}

/** Summary of a complete answer. */
export interface GenerationSummary {
    finishReason: "stop" | "length";
    promptPositions: number;
    tokens: number;
    chain: Chain;
    attempts: number;
}

/** Reason why an attempt ended without an answer. */
type AttemptEnd = { kind: "cancelled"; } | { kind: "broken"; failure: PassFailure; };

/** Interval at which a started answer checks if a chain is available. */
const chainCheckMilliseconds = 50;
const noChainRetryAfterMilliseconds = 1_000;

/**
 * Generates one answer. Chooses a chain and sends each pass through its stages. If a stage fails, rebuilds the context
 * on another chain without emitting any token twice.
 * @param options - Request and dependencies.
 */
export async function runGeneration(
    options: RunGenerationOptions,
): Promise<Result<GenerationSummary, RequestError>> {
    return await GenerationRun.create(options).run();
}

/** The attempts of one answer. */
class GenerationRun {
    private readonly options: RunGenerationOptions;
    private readonly generation: Generation;
    private readonly selection: ChainSelection;
    private readonly retries = GenerationRetries.create();
    private mayHaveRun = false;
    /** Monotonic time of the first failure since the last token. */
    private brokenAt: number | undefined;

    private constructor(options: RunGenerationOptions) {
        this.options = options;
        this.generation = Generation.create(options);
        this.selection = ChainSelection.create(options);
    }

    static create(options: RunGenerationOptions): GenerationRun {
        return new GenerationRun(options);
    }

    async run(): Promise<Result<GenerationSummary, RequestError>> {
        const outcome = await this.runAttempts();
        this.reportRefusals(outcome.ok);
        const rebuiltPositions = this.generation.getRebuiltPositions();
        if (rebuiltPositions > 0) {
            this.options.observer.onContextRebuilt(rebuiltPositions);
        }
        return outcome;
    }

    private async runAttempts(): Promise<Result<GenerationSummary, RequestError>> {
        let lastMessage = "";
        while (this.retries.isAllowed(this.getTime())) {
            const chain = await this.chooseChain();
            if (!chain.ok) {
                return chain;
            }
            const outcome = await this.runReservedAttempt(chain.val);
            if (outcome.ok) {
                return Ok({ ...outcome.val, chain: chain.val });
            }
            if (outcome.val.kind === "cancelled") {
                return Err(this.createAbortError());
            }
            lastMessage = outcome.val.failure.message;
            this.handleBrokenAttempt(chain.val, outcome.val.failure);
        }
        return Err(this.createFinalError(`${this.retries.describeEnd()} ${lastMessage}`));
    }

    private async runReservedAttempt(chain: Chain): Promise<Result<Omit<GenerationSummary, "chain">, AttemptEnd>> {
        const { chooser, signal } = this.options;
        chooser.reserveChain(chain);
        this.options.onChainChosen(chain);
        // Once the sequence is cancelled, an engine rejects its queued pass, so the attempt ends soon after the signal.
        const cancelChain = () => this.cancelChain(chain);
        signal.addEventListener("abort", cancelChain, { once: true });
        try {
            return await this.runAttempt(chain);
        }
        finally {
            signal.removeEventListener("abort", cancelChain);
            this.cancelChain(chain);
            chooser.releaseChain(chain);
        }
    }

    private async runAttempt(chain: Chain): Promise<Result<Omit<GenerationSummary, "chain">, AttemptEnd>> {
        let stage = 0;
        let pass = this.generation.startAttempt(chain);
        this.options.permit.revoke();
        const detector = SlowStageDetector.create(chain.stages.length);
        for (;;) {
            const { endpoint } = chain.stages[stage]!;
            const sentAt = this.getTime();
            const result = await this.runPass(endpoint, pass);
            if (this.options.signal.aborted) {
                return Err({ kind: "cancelled" });
            }
            if (!result.ok) {
                return Err({ kind: "broken", failure: result.val });
            }
            this.mayHaveRun = true;
            detector.observePass(stage, result.val.count, this.getTime() - sentAt);
            const step = this.generation.acceptResult(result.val);
            if (step.kind === "stale" || step.kind === "malformed") {
                return Err({ kind: "broken", failure: this.createMalformedFailure(endpoint, step) });
            }
            this.emit(step);
            if (step.kind === "ended") {
                return Ok(this.createSummary(step.finishReason));
            }
            const slowStage = step.kind === "token" ? detector.findSlowStage() : undefined;
            if (slowStage !== undefined && this.selection.tryReplaceSlowStage(chain.stages[slowStage]!.endpoint)) {
                return Err({ kind: "broken", failure: createSlowFailure(chain.stages[slowStage]!.endpoint) });
            }
            stage = step.stage;
            pass = step.pass;
        }
    }

    private async runPass(
        endpoint: string,
        pass: Parameters<EngineConnection["runPass"]>[0],
    ): Promise<Result<PassResult, PassFailure>> {
        const connection = this.options.getConnection(endpoint);
        if (connection === undefined) {
            const message = `Endpoint ${endpoint} is no longer in the configuration.`;
            return Err({ kind: "notSent", endpoint, reason: "removed", message });
        }
        const { observer } = this.options;
        const onResult = observer.onPassSent(endpoint, pass);
        const result = await connection.runPass(pass, this.generation.getEstimatedPositions());
        onResult(result);
        return result;
    }

    private emit(step: GenerationStep): void {
        if (step.kind !== "token" && step.kind !== "ended") {
            return;
        }
        if (this.brokenAt !== undefined) {
            this.options.observer.onRecovered(this.getTime() - this.brokenAt);
            this.brokenAt = undefined;
            this.reportRefusals(true);
        }
        if (step.text !== "") {
            this.options.onText(step.text);
        }
    }

    /**
     * Chooses a chain. If a pass may already have run, waits for an available chain for a limited time. Failed
     * endpoints are allowed again if there is no chain without them.
     */
    private async chooseChain(): Promise<Result<Chain, RequestError>> {
        const deadline = this.retries.getWaitEnd(this.getTime());
        for (;;) {
            const chain = this.selection.chooseChain(this.generation.getEstimatedPositions());
            if (chain.ok) {
                return Ok(chain.val);
            }
            const canWait = this.mayHaveRun && this.getTime() < deadline;
            if (this.options.signal.aborted) {
                return Err(this.createAbortError());
            }
            if (!canWait && !this.selection.hasExclusions()) {
                return Err(this.createFinalError(chain.val.message));
            }
            const delayMilliseconds = this.selection.hasExclusions()
                ? this.retries.takeDelay()
                : chainCheckMilliseconds;
            this.selection.clearExclusions();
            await new Promise<void>(resolve => void this.options.clock.setTimer(delayMilliseconds, resolve));
        }
    }

    private handleBrokenAttempt(chain: Chain, failure: PassFailure): void {
        const { observer, chooser } = this.options;
        const isRefusal = failure.kind === "refused" || failure.kind === "notSent";
        this.mayHaveRun ||= !isRefusal;
        if (isRefusal && this.mayHaveRun) {
            this.retries.addRefusal(this.getTime());
        }
        else {
            this.retries.addFailure();
        }
        this.brokenAt ??= this.getTime();
        this.selection.observeBrokenChain(chain, failure.endpoint);
        chooser.observeFailure(failure.endpoint);
        observer.onAttemptFailed(failure);
    }

    /** Reports how long the started answer was refused, if it was since its last token. */
    private reportRefusals(isContinued: boolean): void {
        const refused = this.retries.takeRefusals(this.getTime());
        if (refused !== undefined) {
            this.options.observer.onRefusalsEnded(refused, isContinued);
        }
    }

    /** Cancels the sequence at every stage. Engines keep its memory until then. */
    private cancelChain(chain: Chain): void {
        const order = { request: this.options.request, attempt: this.generation.getAttempt() };
        for (const stage of chain.stages) {
            void this.options.getConnection(stage.endpoint)?.cancel(order);
        }
    }

    private createAbortError(): RequestError {
        return this.options.stopSignal.aborted
            ? RequestError.failed("The node was stopped before the answer was complete.")
            : RequestError.cancelled();
    }

    private createFinalError(message: string): RequestError {
        const { permit } = this.options;
        if (this.mayHaveRun) {
            return RequestError.failed(message);
        }
        permit.restore();
        return RequestError.notRun(permit, {
            status: 503,
            code: "no_chain",
            message,
            retryAfterMilliseconds: Math.max(noChainRetryAfterMilliseconds, this.options.getPauseMilliseconds() ?? 0),
        });
    }

    private createMalformedFailure(endpoint: string, step: GenerationStep): PassFailure {
        const reason = step.kind === "malformed" ? step.message : "a stale result";
        this.options.observer.onStaleResult(step.kind === "stale" ? step.reason : "malformed");
        return { kind: "failed", endpoint, reason, message: `Endpoint ${endpoint} violated the protocol: ${reason}` };
    }

    private createSummary(finishReason: "stop" | "length"): Omit<GenerationSummary, "chain"> {
        return {
            finishReason,
            promptPositions: this.generation.getPromptPositions(),
            tokens: this.generation.getTokenCount(),
            attempts: this.generation.getAttempt(),
        };
    }

    private getTime(): number {
        return this.options.clock.getMonotonicTime();
    }
}

function createSlowFailure(endpoint: string): PassFailure {
    const message = `Endpoint ${endpoint} became slow. The answer continues on another chain.`;
    return { kind: "slow", endpoint, reason: "slow", message };
}
