/** A queued action. */
interface DelayedAction {
    /** Earliest monotonic time of the action, in milliseconds. */
    dueAt: number;
    run(): void;
}

/** Runs actions after a delay and always in the order of their arrival, so the bytes of a connection stay in order. */
export class DelayQueue {
    private readonly actions: DelayedAction[] = [];
    private timer: NodeJS.Timeout | undefined;

    private constructor() {}

    /** Creates an empty queue. */
    static create(): DelayQueue {
        return new DelayQueue();
    }

    /**
     * Runs an action after a delay and after all earlier actions. Without a delay or earlier actions, runs it at once.
     * @param delayMilliseconds - Minimum delay.
     */
    add(delayMilliseconds: number, action: () => void): void {
        if (delayMilliseconds === 0 && this.actions.length === 0) {
            action();
            return;
        }
        this.actions.push({ dueAt: performance.now() + delayMilliseconds, run: action });
        this.schedule();
    }

    private schedule(): void {
        const [first] = this.actions;
        if (first !== undefined) {
            this.timer ??= setTimeout(() => this.runDueActions(), Math.max(0, first.dueAt - performance.now()));
        }
    }

    private runDueActions(): void {
        this.timer = undefined;
        for (
            let [first] = this.actions;
            first !== undefined && first.dueAt <= performance.now();
            [first] = this.actions
        ) {
            this.actions.shift();
            first.run();
        }
        this.schedule();
    }
}
