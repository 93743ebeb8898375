import type { TimerHandle } from "../clock.ts";

/** Options of an {@link InputBarrier}. */
interface InputBarrierOptions {
    /** Runs a callback after the event loop has next polled its connections. */
    schedule(callback: () => void): void;
    /** Gets the monotonic time in milliseconds. */
    getTime(): number;
}

/** An action that waits for input to be read. */
interface DeferredAction {
    action(): void;
    /** Number of polls of the connections that remain before the action runs. */
    pollsLeft: number;
    isCancelled: boolean;
}

/**
 * The event loop reads each connection once per poll. Input after the part that was just read, such as a close by the caller
 * after its request, is read in the next poll.
 */
const requiredPolls = 2;
/** Maximum time that actions run before the event loop polls its connections again. */
const sliceMilliseconds = 20;

/**
 * Defers actions until the event loop has read all input that has arrived at the node's connections.
 *
 * After a delay, the event loop may find a request together with the close by its caller, or an expired timer before the answer
 * that it waits for, and would act on whichever it reads first. Actions with an effect outside the node are deferred here, so
 * that they use all available input.
 */
export class InputBarrier {
    private readonly options: InputBarrierOptions;
    private deferredActions: DeferredAction[] = [];
    private isScheduled = false;

    private constructor(options: InputBarrierOptions) {
        this.options = options;
    }

    /** Creates a barrier without waiting actions. */
    static create(
        options: InputBarrierOptions = { schedule: setImmediate, getTime: () => performance.now() },
    ): InputBarrier {
        return new InputBarrier(options);
    }

    /**
     * Runs an action, in order, once all input that has arrived until now is read.
     * @returns A handle that cancels the action if it has not run.
     */
    defer(action: () => void): TimerHandle {
        const deferred: DeferredAction = { action, pollsLeft: requiredPolls, isCancelled: false };
        this.deferredActions.push(deferred);
        this.schedule();
        return {
            cancel: () => {
                deferred.isCancelled = true;
            },
        };
    }

    private schedule(): void {
        if (!this.isScheduled) {
            this.isScheduled = true;
            this.options.schedule(() => this.handlePoll());
        }
    }

    private handlePoll(): void {
        this.isScheduled = false;
        const deferredActions = this.deferredActions.filter(({ isCancelled }) => !isCancelled);
        this.deferredActions = [];
        for (const deferred of deferredActions) {
            deferred.pollsLeft -= 1;
        }
        const sliceEnd = this.options.getTime() + sliceMilliseconds;
        for (const [index, deferred] of deferredActions.entries()) {
            if (deferred.pollsLeft > 0 || this.options.getTime() >= sliceEnd) {
                this.requeue(deferredActions.slice(index));
                break;
            }
            if (!deferred.isCancelled) {
                deferred.action();
            }
        }
        if (this.deferredActions.length > 0) {
            this.schedule();
        }
    }

    /** Requeues actions before those that were added in the meantime. */
    private requeue(deferredActions: DeferredAction[]): void {
        for (const deferred of deferredActions) {
            deferred.pollsLeft = Math.max(1, deferred.pollsLeft);
        }
        this.deferredActions = [...deferredActions, ...this.deferredActions];
    }
}
