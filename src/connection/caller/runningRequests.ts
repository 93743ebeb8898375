/** Counts the requests of a server whose callers have not taken their final answers yet. */
export class RunningRequests {
    private count = 0;
    private onIdle: (() => void) | undefined;

    private constructor() {}

    /** Creates a count of 0. */
    static create(): RunningRequests {
        return new RunningRequests();
    }

    /** Gets the number of such requests. */
    getCount(): number {
        return this.count;
    }

    /** Counts a request that has arrived. */
    add(): void {
        this.count += 1;
    }

    /** Counts a request whose caller has its final answer or has gone. */
    remove(): void {
        this.count -= 1;
        if (this.count === 0) {
            this.onIdle?.();
        }
    }

    /** Waits until there is no such request; at most one call waits at a time. */
    async waitUntilIdle(): Promise<void> {
        if (this.count > 0) {
            await new Promise<void>(resolve => {
                this.onIdle = resolve;
            });
        }
    }
}
