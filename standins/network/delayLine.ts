/** Something that waits to be done. */
interface DelayedAct {
    /** Monotonic time in milliseconds. */
    dueAt: number;
    act(): void;
}

/** Does things later, in the order in which they came, whatever their delays; so bytes of one connection keep their order. */
export class DelayLine {
    private readonly waiting: DelayedAct[] = [];
    private timer: NodeJS.Timeout | undefined;

    private constructor() {}

    /** Creates an empty line. */
    static create(): DelayLine {
        return new DelayLine();
    }

    /**
     * Does something after a delay and after all that came before; at once where neither holds it up.
     * @param delayMilliseconds - Shortest delay.
     * @param act - What to do.
     */
    add(delayMilliseconds: number, act: () => void): void {
        if (delayMilliseconds === 0 && this.waiting.length === 0) {
            act();
            return;
        }
        this.waiting.push({ dueAt: performance.now() + delayMilliseconds, act });
        this.schedule();
    }

    private schedule(): void {
        const [first] = this.waiting;
        if (first !== undefined) {
            this.timer ??= setTimeout(() => this.release(), Math.max(0, first.dueAt - performance.now()));
        }
    }

    private release(): void {
        this.timer = undefined;
        for (
            let [first] = this.waiting;
            first !== undefined && first.dueAt <= performance.now();
            [first] = this.waiting
        ) {
            this.waiting.shift();
            first.act();
        }
        this.schedule();
    }
}
