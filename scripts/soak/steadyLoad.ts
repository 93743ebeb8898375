import { setTimeout as sleep } from "node:timers/promises";
import type { SeededRandom } from "./seededRandom.ts";

/** Options of a {@link SteadyLoad}. */
interface SteadyLoadOptions {
    /** Sets the pauses between requests. */
    random: SeededRandom;
    requestsPerSecond: number;
    /** Not limited where undefined. */
    maximumRequests?: number;
    /**
     * Sends a request; the promise ends with its last answer.
     * @param number - Counted from 1.
     */
    send(number: number): Promise<void>;
}

const maximumInProgress = 250;
const millisecondsPerSecond = 1_000;

/** Begins requests at a steady rate, whatever becomes of them. */
export class SteadyLoad {
    private readonly options: SteadyLoadOptions;
    private readonly running = new Set<Promise<void>>();
    private count = 0;
    private isStopped = false;

    private constructor(options: SteadyLoadOptions) {
        this.options = options;
    }

    /** Creates a load that sends nothing before {@link SteadyLoad.run}. */
    static create(options: SteadyLoadOptions): SteadyLoad {
        return new SteadyLoad(options);
    }

    /** Gets the number of requests that were begun. */
    getCount(): number {
        return this.count;
    }

    /** Sends until stopped or all requests are sent, and waits for the last answer. */
    async run(): Promise<void> {
        const { random, requestsPerSecond, maximumRequests = Infinity } = this.options;
        const meanMilliseconds = millisecondsPerSecond / requestsPerSecond;
        while (!this.isStopped && this.count < maximumRequests) {
            if (this.running.size < maximumInProgress) {
                this.begin();
            }
            await sleep(random.chooseInteger(0, Math.round(2 * meanMilliseconds)));
        }
        await Promise.all(this.running);
    }

    /** Begins no further request. */
    stop(): void {
        this.isStopped = true;
    }

    private begin(): void {
        this.count += 1;
        const running: Promise<void> = this.options.send(this.count).finally(() => this.running.delete(running));
        this.running.add(running);
    }
}
