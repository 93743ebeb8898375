import type { TimerHandle } from "../clock.ts";

/** Options of an {@link InputBarrier}. */
interface InputBarrierOptions {
    /** Runs a callback after the event loop has next looked at its connections. */
    schedule(callback: () => void): void;
    /** Gets the monotonic time in milliseconds. */
    getTime(): number;
}

/** An action that waits. */
interface Passage {
    action(): void;
    /** How often the loop has yet to look at its connections. */
    looksLeft: number;
    isCancelled: boolean;
}

/**
 * The loop reads a connection once when it looks at it. What lies behind what it has just read, such as the close of a caller behind its
 * request, is read when it looks again.
 */
const looks = 2;
/** Actions run for this long at most before the loop looks at its connections again. */
const sliceMilliseconds = 20;

/**
 * Lets actions wait until the event loop has read all that had come to the node's connections.
 *
 * A loop that was late finds a request and its caller's close together, or a timer's end before the answer that it waits for, and acts on
 * whichever it happens to read first. What has an effect outside the node passes here, so that it acts on all that is known.
 */
export class InputBarrier {
    private readonly options: InputBarrierOptions;
    private passages: Passage[] = [];
    private isScheduled = false;

    private constructor(options: InputBarrierOptions) {
        this.options = options;
    }

    /** Creates a barrier that nothing waits at. */
    static create(
        options: InputBarrierOptions = { schedule: setImmediate, getTime: () => performance.now() },
    ): InputBarrier {
        return new InputBarrier(options);
    }

    /**
     * Runs an action, after those that came before it, once all that has come until now is read.
     * @returns Cancels it, if it has not run.
     */
    pass(action: () => void): TimerHandle {
        const passage: Passage = { action, looksLeft: looks, isCancelled: false };
        this.passages.push(passage);
        this.schedule();
        return {
            cancel: () => {
                passage.isCancelled = true;
            },
        };
    }

    private schedule(): void {
        if (!this.isScheduled) {
            this.isScheduled = true;
            this.options.schedule(() => this.noteLook());
        }
    }

    private noteLook(): void {
        this.isScheduled = false;
        const passages = this.passages.filter(({ isCancelled }) => !isCancelled);
        this.passages = [];
        for (const passage of passages) {
            passage.looksLeft -= 1;
        }
        const until = this.options.getTime() + sliceMilliseconds;
        for (const [index, passage] of passages.entries()) {
            if (passage.looksLeft > 0 || this.options.getTime() >= until) {
                this.wait(passages.slice(index));
                break;
            }
            if (!passage.isCancelled) {
                passage.action();
            }
        }
        if (this.passages.length > 0) {
            this.schedule();
        }
    }

    /** Those that had to wait for others go before those that came while these ran. */
    private wait(passages: Passage[]): void {
        for (const passage of passages) {
            passage.looksLeft = Math.max(1, passage.looksLeft);
        }
        this.passages = [...passages, ...this.passages];
    }
}
