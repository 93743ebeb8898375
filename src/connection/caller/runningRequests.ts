/** Counts the requests of a server whose callers have not taken their final answers yet. */
export class RunningRequests {
    private count = 0;
    private onIdle: (() => void) | undefined;

    private constructor() {}

    /** Creates a count of 0. */
    static create(): RunningRequests {
        return new RunningRequests();
    }

    getCount(): number {
        return this.count;
    }

    add(): void {
        this.count += 1;
    }

    remove(): void {
        this.count -= 1;
        if (this.count === 0) {
            this.onIdle?.();
        }
    }

    /** Waits until there is none. */
    async waitUntilIdle(): Promise<void> {
        if (this.count > 0) {
            await new Promise<void>(resolve => {
                this.onIdle = resolve;
            });
        }
    }
}
