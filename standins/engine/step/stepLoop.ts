import type { Pass, PassResult } from "../../../src/connection/endpoint/engineProtocol.ts";
import type { Clock, TimerHandle } from "../../../src/process/clock.ts";
import type { EngineFaults } from "../engineFaults.ts";
import type { EngineStandinOptions } from "../engineStandinOptions.ts";
import type { ExecutionRecord } from "../executionRecord.ts";
import { modelFunction } from "../model/modelFunction.ts";
import type { PassRunner } from "./passRunner.ts";
import type { WaitingPass } from "./waitingPass.ts";

/** Maximum deviation of earlier timers that shortens or lengthens later steps. */
const maximumTimerDriftMilliseconds = 4;
/** Shorter waits use `setImmediate` instead of a timer. */
const minimumTimerMilliseconds = 0.5;

/** Options of {@link StepLoop}. */
interface StepLoopOptions {
    clock: Clock;
    engine: EngineStandinOptions;
    runner: PassRunner;
    record: ExecutionRecord;
    faults: EngineFaults;
}

/** Continuous batching. Each step runs the waiting passes by descending priority, up to a maximum number of positions. */
export class StepLoop {
    private readonly options: StepLoopOptions;
    /** Passes that are waiting or part of the running step, by key. */
    private readonly pending = new Map<string, WaitingPass>();
    private waiting: WaitingPass[] = [];
    private lastStepPassCount = 0;
    private isBusy = false;
    private isClosed = false;
    private timerDriftMilliseconds = 0;
    private timer: TimerHandle | undefined;

    private constructor(options: StepLoopOptions) {
        this.options = options;
    }

    /** Creates an idle loop. */
    static create(options: StepLoopOptions): StepLoop {
        return new StepLoop(options);
    }

    /**
     * Adds a pass. A pass that is pending or has already run is not run again.
     * @param listener - Called once with the result.
     */
    addPass(pass: Pass, listener: (result: PassResult) => void): void {
        const { runner, record } = this.options;
        const key = getPassKey(pass);
        const sendResult = (result: PassResult) => listener({ ...result, id: pass.id, queue: this.waiting.length });
        const pendingPass = this.pending.get(key);
        if (pendingPass) {
            record.summary.repeatedPasses++;
            pendingPass.listeners.push(sendResult);
            return;
        }
        const storedResult = runner.getStoredResult(pass, key);
        if (storedResult) {
            record.summary.repeatedPasses++;
            sendResult(storedResult);
            return;
        }
        const waitingPass: WaitingPass = { pass, key, inputs: getInputs(pass), listeners: [sendResult] };
        this.pending.set(key, waitingPass);
        this.waiting.push(waitingPass);
        this.resume();
    }

    /** Gets the number of passes that are waiting or part of the running step. */
    getQueueLength(): number {
        return this.waiting.length + (this.isBusy ? this.lastStepPassCount : 0);
    }

    /** Starts the next step unless a step is running. */
    resume(): void {
        if (!this.isBusy && !this.isClosed && !this.options.faults.frozen && this.waiting.length > 0) {
            this.isBusy = true;
            setImmediate(() => this.startStep());
        }
    }

    /** Stops the loop permanently. */
    close(): void {
        this.isClosed = true;
        this.timer?.cancel();
    }

    private startStep(): void {
        const { record, faults, engine, runner } = this.options;
        const done: { waitingPass: WaitingPass; result: PassResult; }[] = [];
        const layers = new Set<string>();
        let prefillPositions = 0;
        for (const waitingPass of this.dequeueBatch()) {
            const outcome = runner.run(waitingPass);
            if (outcome.result.outcome === "refused") {
                this.deliver(waitingPass, outcome.result);
                continue;
            }
            done.push({ waitingPass, result: outcome.result });
            prefillPositions += outcome.prefillPositions;
            addLayers(layers, waitingPass.pass);
        }
        this.lastStepPassCount = done.length;
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

    private dequeueBatch(): WaitingPass[] {
        // Array.prototype.sort is stable, so passes with the same priority stay in order of arrival.
        this.waiting.sort((first, second) => second.pass.priority - first.pass.priority);
        let positions = 0;
        let passCount = 0;
        for (const { inputs } of this.waiting) {
            positions += inputs.length;
            if (passCount > 0 && positions > this.options.engine.maximumBatchPositions) {
                break;
            }
            passCount++;
        }
        return this.waiting.splice(0, passCount);
    }

    /** Waits for the duration of a step. Timers are coarse, so the deviation of a timer is subtracted from later waits. */
    private wait(milliseconds: number, callback: () => void): void {
        const { clock } = this.options;
        const start = clock.getMonotonicTime();
        const finish = () => {
            if (this.isClosed) {
                return;
            }
            const driftMilliseconds = this.timerDriftMilliseconds + clock.getMonotonicTime() - start - milliseconds;
            this.timerDriftMilliseconds = Math.max(
                -maximumTimerDriftMilliseconds,
                Math.min(maximumTimerDriftMilliseconds, driftMilliseconds),
            );
            callback();
        };
        const remaining = milliseconds - this.timerDriftMilliseconds;
        if (remaining < minimumTimerMilliseconds) {
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
