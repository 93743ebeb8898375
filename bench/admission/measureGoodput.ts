import { comparedRun } from "./comparedRun.ts";
import { getQuantile } from "./getQuantile.ts";
import type { LoadResult } from "./loadResult.ts";
import { runComparedLoad } from "./runComparedLoad.ts";

const { concurrencyLimit, millisecondsPerToken, meanTokens } = comparedRun;
const durationMilliseconds = 330_000;
const warmUpMilliseconds = 30_000;
const customerCount = 10;
/** Capacity in tokens per second. */
const capacity = concurrencyLimit * 1000 / millisecondsPerToken;

/** Options for one run: the gate, the load, and how long callers wait. */
interface GoodputCase {
    kind: string;
    /** Rate of new requests, as a fraction of the capacity. */
    load: number;
    patienceMilliseconds: number;
    maximumTokens: number;
}

/** Measures goodput at several loads, with admission control and with an unbounded queue. */
export async function measureGoodput(): Promise<void> {
    console.log("\nGoodput (fraction of capacity) by offered load (new requests; retries come on top)");
    for (
        const { patienceMilliseconds, maximumTokens } of [
            { patienceMilliseconds: 15_000, maximumTokens: 500 },
            { patienceMilliseconds: 30_000, maximumTokens: 1_000 },
        ]
    ) {
        for (const kind of ["admission", "unbounded queue"]) {
            for (const load of [0.5, 1, 2, 4]) {
                const goodputCase = { kind, load, patienceMilliseconds, maximumTokens };
                printResult(goodputCase, await runCase(goodputCase));
            }
        }
    }
}

function runCase({ load, maximumTokens, ...goodputCase }: GoodputCase): Promise<LoadResult> {
    const requestsPerSecond = load * capacity / meanTokens / (1 - Math.exp(-maximumTokens / meanTokens))
        / customerCount;
    const rates = new Map<string, number>();
    for (let index = 0; index < customerCount; index++) {
        rates.set(`customer${index}`, requestsPerSecond);
    }
    return runComparedLoad({ ...goodputCase, rates, maximumTokens, durationMilliseconds, warmUpMilliseconds });
}

function printResult({ kind, load, patienceMilliseconds }: GoodputCase, result: LoadResult): void {
    const goodput = result.goodTokens / capacity / (durationMilliseconds - warmUpMilliseconds) * 1000;
    const immediate = result.refusalLatencies.filter(latency => latency === 0).length;
    console.log([
        `patience ${patienceMilliseconds / 1000} s`,
        kind.padEnd(15),
        `load ${load}`,
        `goodput ${goodput.toFixed(3)}`,
        `finished ${(result.finished / result.arrivals).toFixed(3)} of callers`,
        `p99 wait ${getQuantile(result.getWaits(() => true), 0.99).toFixed(0)} ms`,
        `refusals ${result.refusals}, immediate ${(immediate / Math.max(1, result.refusals)).toFixed(4)}`,
        `latency p50 ${getQuantile(result.refusalLatencies, 0.5).toFixed(0)}`
        + ` max ${getQuantile(result.refusalLatencies, 1).toFixed(0)} ms`,
        `retry after p5 ${getQuantile(result.retryAfters, 0.05).toFixed(0)}`
        + ` p50 ${getQuantile(result.retryAfters, 0.5).toFixed(0)}`
        + ` p95 ${getQuantile(result.retryAfters, 0.95).toFixed(0)} ms`,
    ].join(", "));
}
