import type { Clock } from "../../../process/clock.ts";
import type { AnswerSink } from "../answers/answerSink.ts";
import type { RunningAttempts } from "./runningAttempts.ts";
import type { StreamAttempt } from "./streamAttempt.ts";

/** Options of a {@link StreamFlowControl}. */
interface StreamFlowControlOptions {
    sink: Pick<AnswerSink, "needsDrain" | "onDrain">;
    attempts: Pick<RunningAttempts, "list">;
    clock: Pick<Clock, "getMonotonicTime">;
}

/**
 * Has endpoints wait while the caller takes a stream more slowly than they send it. Otherwise the node would hold whatever its caller has
 * not taken, which has no bound.
 */
export class StreamFlowControl {
    private readonly options: StreamFlowControlOptions;
    private pausedAt: number | undefined;
    private pausedMilliseconds = 0;

    private constructor(options: StreamFlowControlOptions) {
        this.options = options;
        options.sink.onDrain?.(() => this.resume());
    }

    /** Creates the flow control of a stream that was not sent yet. */
    static create(options: StreamFlowControlOptions): StreamFlowControl {
        return new StreamFlowControl(options);
    }

    /** Stops reading the answer of an attempt if the caller has not taken enough of what was written to it. */
    review(attempt: StreamAttempt): void {
        const { sink, clock } = this.options;
        if (attempt.isPaused || sink.needsDrain?.() !== true) {
            return;
        }
        attempt.isPaused = true;
        attempt.exchange?.pause();
        this.pausedAt ??= clock.getMonotonicTime();
    }

    /** Gets for how long the stream waited for its caller, in milliseconds. */
    getPausedTime(): number {
        const now = this.options.clock.getMonotonicTime();
        return this.pausedMilliseconds + now - (this.pausedAt ?? now);
    }

    private resume(): void {
        const { attempts, clock } = this.options;
        this.pausedMilliseconds = this.getPausedTime();
        this.pausedAt = undefined;
        for (const attempt of attempts.list()) {
            if (attempt.isPaused) {
                attempt.isPaused = false;
                attempt.lastProgressAt = clock.getMonotonicTime();
                attempt.exchange?.resume();
            }
        }
    }
}
