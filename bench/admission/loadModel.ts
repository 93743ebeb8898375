import type { RandomSource } from "../../src/process/randomSource.ts";
import type { VirtualClock } from "../../tests/support/virtualClock.ts";
import type { BenchGate } from "./benchGate.ts";
import { LoadResult } from "./loadResult.ts";

/** Arrival process of one customer, independent of the answers. */
export interface LoadStream {
    customer: string;
    /** Gets the rate of new requests per second at a time in milliseconds. */
    getRequestsPerSecond: (now: number) => number;
    /** Upper bound of `getRequestsPerSecond`. */
    maximumRequestsPerSecond: number;
}

/** Options for a run of the load model. */
interface LoadModelOptions {
    clock: VirtualClock;
    random: RandomSource;
    gate: BenchGate;
    streams: readonly LoadStream[];
    durationMilliseconds: number;
    /** Requests that arrive before this time are not counted. */
    warmUpMilliseconds: number;
    /** Time to generate one token, in milliseconds. */
    millisecondsPerToken: number;
    meanTokens: number;
    /** Answers are capped at this length. */
    maximumTokens: number;
    /** Time that a caller waits for its answer, in milliseconds. */
    patienceMilliseconds: number;
    /** Maximum number of retries of a refused caller. */
    maximumRetries: number;
}

/** A caller with its request. */
interface Caller {
    customer: string;
    tokens: number;
    arrivedAt: number;
    isCounted: boolean;
    retries: number;
}

/**
 * Drives a gate with open-loop Poisson arrivals whose answer lengths are exponentially distributed. A run is aborted
 * when its caller stops waiting. A refused caller retries after the delay that the gate gives.
 */
export async function runLoadModel(options: LoadModelOptions): Promise<LoadResult> {
    const result = LoadResult.create(options.warmUpMilliseconds);
    for (const stream of options.streams) {
        scheduleArrival(options, stream, result);
    }
    await options.clock.runUntil(options.durationMilliseconds);
    return result;
}

function scheduleArrival(options: LoadModelOptions, stream: LoadStream, result: LoadResult): void {
    const { clock, random } = options;
    const interval = -Math.log(1 - random()) * 1000 / stream.maximumRequestsPerSecond;
    clock.setTimer(interval, () => {
        const now = clock.getMonotonicTime();
        scheduleArrival(options, stream, result);
        if (random() * stream.maximumRequestsPerSecond < stream.getRequestsPerSecond(now)) {
            const tokens = Math.min(options.maximumTokens, 1 - Math.log(1 - random()) * options.meanTokens);
            const isCounted = now >= options.warmUpMilliseconds;
            const caller = { customer: stream.customer, tokens, arrivedAt: now, isCounted, retries: 0 };
            result.observeArrival(caller);
            sendRequest(options, caller, result);
        }
    });
}

function sendRequest(options: LoadModelOptions, caller: Caller, result: LoadResult): void {
    const { clock, random } = options;
    const sentAt = clock.getMonotonicTime();
    const abort = new AbortController();
    let endRun: (() => void) | undefined;
    const disconnectTimer = clock.setTimer(options.patienceMilliseconds, () => {
        abort.abort();
        endRun?.();
    });
    // The expected cost deviates from the actual one by up to 50 %.
    const cost = caller.tokens * (0.5 + random());
    const deadline = sentAt + options.patienceMilliseconds;
    options.gate({ customer: caller.customer, gate: "model", cost, deadline, signal: abort.signal }, release => {
        const startedAt = clock.getMonotonicTime();
        const run = clock.setTimer(caller.tokens * options.millisecondsPerToken, () => {
            disconnectTimer.cancel();
            release(caller.tokens);
            result.observeFinish(caller, startedAt - sentAt, clock.getMonotonicTime());
        });
        endRun = () => {
            run.cancel();
            release(Math.max(1, (clock.getMonotonicTime() - startedAt) / options.millisecondsPerToken));
        };
    }, retryAfterMilliseconds => {
        disconnectTimer.cancel();
        result.observeRefusal(caller, clock.getMonotonicTime() - sentAt, retryAfterMilliseconds);
        if (caller.retries < options.maximumRetries) {
            caller.retries++;
            clock.setTimer(retryAfterMilliseconds, () => sendRequest(options, caller, result));
        }
    });
}
