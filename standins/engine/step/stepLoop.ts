import type { Pass, PassResult } from "../../../src/connection/endpoint/engineProtocol.ts";
import type { Clock, TimerHandle } from "../../../src/process/clock.ts";
import type { EngineFaults } from "../engineFaults.ts";
import type { EngineStandinOptions } from "../engineStandinOptions.ts";
import type { ExecutionRecord } from "../executionRecord.ts";
import { modelFunction } from "../model/modelFunction.ts";
import type { PassRunner } from "./passRunner.ts";
import type { WaitingPass } from "./waitingPass.ts";

/** Most milliseconds by which late timers shorten, or early ones lengthen, the steps after them. */
const maximumTimerDebtMilliseconds = 4;
/** Shorter waits than this, in milliseconds, are not worth a timer. */
const shortestTimerMilliseconds = 0.5;

/** Options of {@link StepLoop}. */
interface StepLoopOptions {
    clock: Clock;
    engine: EngineStandinOptions;
    runner: PassRunner;
    record: ExecutionRecord;
    faults: EngineFaults;
}

/** Continuous batching: each step runs the passes that wait, the higher priority first, up to a limit of positions. */
export class StepLoop {
    private readonly options: StepLoopOptions;
    /** Passes that wait or whose step runs, by key. */
    private readonly pending = new Map<string, WaitingPass>();
    private waiting: WaitingPass[] = [];
    private lastStepPasses = 0;
    private isBusy = false;
    private isClosed = false;
    private timerDebt = 0;
    private timer: TimerHandle | undefined;

    private constructor(options: StepLoopOptions) {
        this.options = options;
    }

    /** Creates an idle loop. */
    static create(options: StepLoopOptions): StepLoop {
        return new StepLoop(options);
    }

    /**
     * Adds a pass; one that has run already, or waits already, is not run again.
     * @param pass - Pass to run.
     * @param listener - Called once with the result.
     */
    addPass(pass: Pass, listener: (result: PassResult) => void): void {
        const { runner, record } = this.options;
        const key = getPassKey(pass);
        const sendResult = (result: PassResult) => listener({ ...result, id: pass.id, queue: this.waiting.length });
        const same = this.pending.get(key);
        if (same) {
            record.summary.repeatedPasses++;
            same.listeners.push(sendResult);
            return;
        }
        const kept = runner.getKeptResult(pass, key);
        if (kept) {
            record.summary.repeatedPasses++;
            sendResult(kept);
            return;
        }
        const added: WaitingPass = { pass, key, inputs: getInputs(pass), listeners: [sendResult] };
        this.pending.set(key, added);
        this.waiting.push(added);
        this.resume();
    }

    /** Gets the passes that wait or ran in the last step. */
    getQueue(): number {
        return this.waiting.length + (this.isBusy ? this.lastStepPasses : 0);
    }

    /** Starts the next step unless one runs. */
    resume(): void {
        if (!this.isBusy && !this.isClosed && !this.options.faults.frozen && this.waiting.length > 0) {
            this.isBusy = true;
            setImmediate(() => this.startStep());
        }
    }

    /** Stops the loop for good. */
    close(): void {
        this.isClosed = true;
        this.timer?.cancel();
    }

    private startStep(): void {
        const { record, faults, engine, runner } = this.options;
        const done: { waitingPass: WaitingPass; result: PassResult; }[] = [];
        const layers = new Set<string>();
        let prefillPositions = 0;
        for (const waitingPass of this.takePasses()) {
            const outcome = runner.run(waitingPass);
            if (outcome.result.outcome === "refused") {
                this.deliver(waitingPass, outcome.result);
                continue;
            }
            done.push({ waitingPass, result: outcome.result });
            prefillPositions += outcome.prefillPositions;
            addLayers(layers, waitingPass.pass);
        }
        this.lastStepPasses = done.length;
        if (done.length === 0) {
            this.endStep();
            return;
        }
        record.summary.steps++;
        const milliseconds = faults.slowFactor * (engine.stepBaseMilliseconds
            + engine.stepMillisecondsPerLayer * layers.size
            + engine.prefillMillisecondsPerPosition * prefillPositions);
        this.wait(milliseconds, () => {
            for (const { waitingPass, result } of done) {
                this.deliver(waitingPass, result);
            }
            this.endStep();
        });
    }

    private endStep(): void {
        this.isBusy = false;
        this.resume();
    }

    private takePasses(): WaitingPass[] {
        // Array.prototype.sort is stable, so passes of the same priority keep their order of arrival.
        this.waiting.sort((first, second) => second.pass.priority - first.pass.priority);
        let positions = 0;
        let taken = 0;
        for (const { inputs } of this.waiting) {
            positions += inputs.length;
            if (taken > 0 && positions > this.options.engine.maximumBatchPositions) {
                break;
            }
            taken++;
        }
        return this.waiting.splice(0, taken);
    }

    /** Waits for the time of a step; timers are coarse, so what one is late by comes off the next waits. */
    private wait(milliseconds: number, callback: () => void): void {
        const { clock } = this.options;
        const start = clock.getMonotonicTime();
        const finish = () => {
            if (this.isClosed) {
                return;
            }
            const debt = this.timerDebt + clock.getMonotonicTime() - start - milliseconds;
            this.timerDebt = Math.max(-maximumTimerDebtMilliseconds, Math.min(maximumTimerDebtMilliseconds, debt));
            callback();
        };
        const remaining = milliseconds - this.timerDebt;
        if (remaining < shortestTimerMilliseconds) {
            setImmediate(finish);
            return;
        }
        this.timer = clock.setTimer(Math.round(remaining), finish);
    }

    private deliver(waitingPass: WaitingPass, result: PassResult): void {
        this.pending.delete(waitingPass.key);
        for (const listener of waitingPass.listeners) {
            listener(result);
        }
    }
}

function getPassKey(pass: Pass): string {
    const { request, attempt, model, position, layerStart, layerEnd } = pass;
    return `${request}\n${attempt}\n${model}\n${position}\n${layerStart}-${layerEnd}`;
}

function getInputs(pass: Pass): number[] {
    if (pass.layerStart > 0) {
        return pass.hidden ?? [];
    }
    const prompt = pass.text === undefined ? [] : modelFunction.tokenize(pass.text);
    return prompt.concat(pass.tokens ?? []);
}

function addLayers(layers: Set<string>, { model, layerStart, layerEnd }: Pass): void {
    for (let layer = layerStart; layer < layerEnd; layer++) {
        layers.add(`${model}\n${layer}`);
    }
}
