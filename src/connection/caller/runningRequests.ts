/** Counts the requests of a server whose final answers have not been sent completely. */
export class RunningRequests {
    private count = 0;
    private onIdle: (() => void) | undefined;

    private constructor() {}

    /** Creates a counter that starts at 0. */
    static create(): RunningRequests {
        return new RunningRequests();
    }

    /** Gets the number of running requests. */
    getCount(): number {
        return this.count;
    }

    /** Adds a request that has arrived. */
    add(): void {
        this.count += 1;
    }

    /** Removes a request whose final answer is sent or whose caller has disconnected. */
    remove(): void {
        this.count -= 1;
        if (this.count === 0) {
            this.onIdle?.();
        }
    }

    /** Waits until no request is running. Only one call may wait at a time. */
    async waitUntilIdle(): Promise<void> {
        if (this.count > 0) {
            await new Promise<void>(resolve => {
                this.onIdle = resolve;
            });
        }
    }
}
