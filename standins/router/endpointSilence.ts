import { setTimeout as wait } from "node:timers/promises";

/** A time in which an endpoint stand-in reads and sends nothing, with its connections open. */
export class EndpointSilence {
    /** Monotonic time in milliseconds until which the endpoint is silent. */
    private until = -Infinity;
    private answersReports = false;

    private constructor() {}

    /** Creates the silence of an endpoint that is not silent yet. */
    static create(): EndpointSilence {
        return new EndpointSilence();
    }

    /**
     * Begins a silence.
     * @param answersReports - Whether the endpoint goes on answering status reports.
     */
    begin(milliseconds: number, answersReports: boolean): void {
        this.until = performance.now() + milliseconds;
        this.answersReports = answersReports;
    }

    /** Gets the time until the end of the silence, in milliseconds. */
    getRemaining(): number {
        return Math.max(0, this.until - performance.now());
    }

    /** Resolves once the endpoint is not silent. */
    async waitUntilEnd(): Promise<void> {
        for (let left = this.getRemaining(); left > 0; left = this.getRemaining()) {
            await wait(left);
        }
    }

    /** Resolves once the endpoint answers status reports. */
    async waitUntilReports(): Promise<void> {
        if (!this.answersReports) {
            await this.waitUntilEnd();
        }
    }
}
