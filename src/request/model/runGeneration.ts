import type { EngineConnection } from "../../connection/endpoint/engineConnection.ts";
import type { PassResult } from "../../connection/endpoint/engineProtocol.ts";
import type { PassFailure } from "../../connection/endpoint/passFailure.ts";
import type { Clock } from "../../process/clock.ts";
import { Err, Ok, type Result } from "../../result.ts";
import type { Chain } from "../chain/chain.ts";
import type { ChainChooser } from "../chain/chainChooser.ts";
import type { NotRunPermit } from "../notRunPermit.ts";
import { RequestError } from "../requestError.ts";
import type { ChainAttempt } from "./chainAttempt.ts";
import { ChainSelection } from "./chainSelection.ts";
import { Generation, type GenerationOptions } from "./generation.ts";
import type { GenerationObserver } from "./generationObserver.ts";
import { GenerationRetries } from "./generationRetries.ts";
import type { GenerationStep } from "./generationStep.ts";
import { ParkedAttempt } from "./parkedAttempt.ts";
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
    /** Attempts whose sequences the engines hold. */
    private readonly openAttempts = new Set<ChainAttempt>();
    private parked: ParkedAttempt | undefined;
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
        const { signal } = this.options;
        // Once its sequence is cancelled, an engine rejects a queued pass, so an attempt ends soon after the signal.
        const cancelAttempts = () => this.cancelAttempts();
        signal.addEventListener("abort", cancelAttempts, { once: true });
        const outcome = await this.runAttempts().finally(() => {
            signal.removeEventListener("abort", cancelAttempts);
            this.endAttempts();
        });
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
            const attempt = await this.getNextAttempt();
            if (!attempt.ok) {
                return attempt;
            }
            const outcome = await this.runAttempt(attempt.val);
            if (outcome.ok) {
                return Ok({ ...outcome.val, chain: attempt.val.chain });
            }
            if (outcome.val.kind === "cancelled") {
                return Err(this.createAbortError());
            }
            lastMessage = outcome.val.failure.message;
            this.handleBrokenAttempt(attempt.val, outcome.val.failure);
        }
        return Err(this.createFinalError(`${this.retries.describeEnd()} ${lastMessage}`));
    }

    private async runAttempt(attempt: ChainAttempt): Promise<Result<Omit<GenerationSummary, "chain">, AttemptEnd>> {
        const { chain, detector } = attempt;
        for (;;) {
            const { stage, pass } = attempt;
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
            attempt.stage = step.stage;
            attempt.pass = step.pass;
            if (step.kind === "nextStage") {
                continue;
            }
            this.replaceParkedAttempt(attempt);
            const slowStage = detector.findSlowStage();
            if (slowStage !== undefined && this.selection.tryReplaceSlowStage(chain.stages[slowStage]!.endpoint)) {
                return Err({ kind: "broken", failure: createSlowFailure(chain.stages[slowStage]!.endpoint) });
            }
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
     * Starts an attempt on another chain, or continues the parked one if its endpoint is chosen again. If a pass may already have run,
     * waits for an available chain for a limited time. Failed endpoints are allowed again if there is no chain without them; a parked
     * attempt that is due is continued first.
     */
    private async getNextAttempt(): Promise<Result<ChainAttempt, RequestError>> {
        const deadline = this.retries.getWaitEnd(this.getTime());
        for (;;) {
            const chain = this.selection.chooseChain(this.generation.getEstimatedPositions());
            if (chain.ok) {
                return Ok(this.resumeParkedAttempt(chain.val) ?? this.startAttempt(chain.val));
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
            if (this.parked?.isDueToContinue() === true) {
                return Ok(this.resumeAttempt(this.parked.attempt));
            }
        }
    }

    private startAttempt(chain: Chain): ChainAttempt {
        this.options.chooser.reserveChain(chain);
        this.options.onChainChosen(chain);
        const pass = this.generation.startAttempt(chain);
        this.options.permit.revoke();
        const detector = SlowStageDetector.create(chain.stages.length);
        const attempt = { chain, progress: this.generation.getProgress(), detector, stage: 0, pass };
        this.openAttempts.add(attempt);
        return attempt;
    }

    /** Continues the parked attempt if the endpoint at which it failed is part of a chain that was chosen now. */
    private resumeParkedAttempt(chain: Chain): ChainAttempt | undefined {
        const { parked } = this;
        const isChosen = parked !== undefined
            && chain.stages.some(({ endpoint }) => endpoint === parked.getEndpoint());
        return isChosen ? this.resumeAttempt(parked.attempt) : undefined;
    }

    private resumeAttempt(attempt: ChainAttempt): ChainAttempt {
        this.options.onChainChosen(attempt.chain);
        this.generation.resumeAttempt(attempt.progress);
        return attempt;
    }

    /** Ends the parked attempt, if there is one, since another attempt has emitted a token. */
    private replaceParkedAttempt(attempt: ChainAttempt): void {
        if (this.parked !== undefined && this.parked.attempt !== attempt) {
            this.endAttempt(this.parked.attempt);
        }
        this.parked = undefined;
    }

    private handleBrokenAttempt(attempt: ChainAttempt, failure: PassFailure): void {
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
        this.parkOrEnd(attempt, failure);
        this.selection.observeBrokenChain(attempt.chain, failure.endpoint);
        chooser.observeFailure(failure.endpoint);
        observer.onAttemptFailed(failure);
    }

    /**
     * Keeps an attempt whose engine is silent or slow until another attempt has emitted a token, since the engine may go on and there may
     * be no memory elsewhere.
     */
    private parkOrEnd(attempt: ChainAttempt, { kind, endpoint, reason }: PassFailure): void {
        const mayGoOn = kind === "slow" || kind === "unreachable" || kind === "notSent";
        const isOnlyOne = this.parked === undefined || this.parked.attempt === attempt;
        if (mayGoOn && isOnlyOne && attempt.progress.position > 0) {
            this.parked ??= ParkedAttempt.create(attempt, endpoint, this.getTime());
            this.parked.observeFailure(endpoint);
            return;
        }
        this.endAttempt(attempt);
        if (reason === "memory") {
            this.handleMemoryRefusal(endpoint);
        }
    }

    /** Ends the parked attempt if an engine needs its memory and the silent engine won't go on. */
    private handleMemoryRefusal(refusingEndpoint: string): void {
        const { parked } = this;
        if (parked?.hasEndpoint(refusingEndpoint) !== true) {
            return;
        }
        const silentEndpoint = parked.getEndpoint();
        const now = this.getTime();
        const hasEnded = this.options.getConnection(silentEndpoint)?.hasEnded() ?? true;
        const isKept = parked.keepDespiteRefusal(hasEnded, now);
        const parkedMilliseconds = parked.getAge(now);
        this.options.observer.onMemoryConflict({
            refusingEndpoint,
            silentEndpoint,
            hasEnded,
            parkedMilliseconds,
            isKept,
        });
        if (!isKept) {
            this.endAttempt(parked.attempt);
        }
    }

    /** Reports how long the started answer was refused, if it was since its last token. */
    private reportRefusals(isContinued: boolean): void {
        const refused = this.retries.takeRefusals(this.getTime());
        if (refused !== undefined) {
            this.options.observer.onRefusalsEnded(refused, isContinued);
        }
    }

    /** Ends an attempt. Engines keep the memory of its sequence until then. */
    private endAttempt(attempt: ChainAttempt): void {
        this.openAttempts.delete(attempt);
        if (this.parked?.attempt === attempt) {
            this.parked = undefined;
        }
        this.cancelAttempt(attempt);
        this.options.chooser.releaseChain(attempt.chain);
    }

    private endAttempts(): void {
        for (const attempt of [...this.openAttempts]) {
            this.endAttempt(attempt);
        }
    }

    private cancelAttempts(): void {
        for (const attempt of this.openAttempts) {
            this.cancelAttempt(attempt);
        }
    }

    /** Cancels the sequence of an attempt at every stage. */
    private cancelAttempt({ chain, progress }: ChainAttempt): void {
        const order = { request: this.options.request, attempt: progress.attempt };
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
            attempts: this.generation.getAttemptCount(),
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
