import { setTimeout as sleep } from "node:timers/promises";
import type { SeededRandom } from "./seededRandom.ts";

/** Options of a {@link SteadyLoad}. */
interface SteadyLoadOptions {
    /** Used to choose the pauses between requests. */
    random: SeededRandom;
    requestsPerSecond: number;
    /** Unlimited if undefined. */
    maximumRequests?: number;
    /**
     * Sends a request; resolves after its last response.
     * @param number - Counted from 1.
     */
    send(number: number): Promise<void>;
}

const maximumInFlight = 250;
const millisecondsPerSecond = 1_000;

/** Starts requests at a steady mean rate, independent of their responses, up to a maximum in flight. */
export class SteadyLoad {
    private readonly options: SteadyLoadOptions;
    private readonly inFlight = new Set<Promise<void>>();
    private count = 0;
    private isStopped = false;

    private constructor(options: SteadyLoadOptions) {
        this.options = options;
    }

    /** Creates a load that is idle until {@link SteadyLoad.run} is called. */
    static create(options: SteadyLoadOptions): SteadyLoad {
        return new SteadyLoad(options);
    }

    /** Gets the number of started requests. */
    getCount(): number {
        return this.count;
    }

    /** Sends requests until stopped or the maximum is reached; resolves after the last response. */
    async run(): Promise<void> {
        const { random, requestsPerSecond, maximumRequests = Infinity } = this.options;
        const meanMilliseconds = millisecondsPerSecond / requestsPerSecond;
        while (!this.isStopped && this.count < maximumRequests) {
            if (this.inFlight.size < maximumInFlight) {
                this.startRequest();
            }
            await sleep(random.chooseInteger(0, Math.round(2 * meanMilliseconds)));
        }
        await Promise.all(this.inFlight);
    }

    /** Stops starting requests. */
    stop(): void {
        this.isStopped = true;
    }

    private startRequest(): void {
        this.count += 1;
        const running: Promise<void> = this.options.send(this.count).finally(() => this.inFlight.delete(running));
        this.inFlight.add(running);
    }
}
