import type { RandomSource } from "../../src/process/randomSource.ts";
import type { VirtualClock } from "../../tests/support/virtualClock.ts";
import type { BenchGate } from "./benchGate.ts";
import { LoadResult } from "./loadResult.ts";

/** Requests that one customer sends, whatever the answers. */
export interface LoadStream {
    customer: string;
    /** New requests a second, as a function of the time in milliseconds. */
    getRequestsPerSecond: (now: number) => number;
    /** Most of `getRequestsPerSecond`. */
    maximumRequestsPerSecond: number;
}

/** A run of the load model. */
interface LoadModelOptions {
    clock: VirtualClock;
    random: RandomSource;
    gate: BenchGate;
    streams: readonly LoadStream[];
    durationMilliseconds: number;
    /** What arrives before is not counted. */
    warmUpMilliseconds: number;
    /** Time that one place takes for a token, in milliseconds. */
    millisecondsPerToken: number;
    meanTokens: number;
    /** Requests are cut to this length. */
    maximumTokens: number;
    /** Time that a caller waits for its answer, in milliseconds. */
    patienceMilliseconds: number;
    /** Times that a refused caller comes back. */
    maximumReturns: number;
}

/** One caller with one request. */
interface Caller {
    customer: string;
    tokens: number;
    bornAt: number;
    isCounted: boolean;
    returns: number;
}

/**
 * Drives a gate with open-loop Poisson arrivals of exponential length. A run holds its place for its length and
 * is cut off when its caller goes away. A refused caller comes back when told.
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
            const caller = { customer: stream.customer, tokens, bornAt: now, isCounted, returns: 0 };
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
    const patience = clock.setTimer(options.patienceMilliseconds, () => {
        abort.abort();
        endRun?.();
    });
    // The expected cost is off by up to a half either way.
    const cost = caller.tokens * (0.5 + random());
    const deadline = sentAt + options.patienceMilliseconds;
    options.gate({ customer: caller.customer, gate: "model", cost, deadline, signal: abort.signal }, release => {
        const startedAt = clock.getMonotonicTime();
        const run = clock.setTimer(caller.tokens * options.millisecondsPerToken, () => {
            patience.cancel();
            release(caller.tokens);
            result.observeFinish(caller, startedAt - sentAt, clock.getMonotonicTime());
        });
        endRun = () => {
            run.cancel();
            release(Math.max(1, (clock.getMonotonicTime() - startedAt) / options.millisecondsPerToken));
        };
    }, retryAfterMilliseconds => {
        patience.cancel();
        result.observeRefusal(caller, clock.getMonotonicTime() - sentAt, retryAfterMilliseconds);
        if (caller.returns < options.maximumReturns) {
            caller.returns++;
            clock.setTimer(retryAfterMilliseconds, () => sendRequest(options, caller, result));
        }
    });
}
