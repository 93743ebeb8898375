import { comparedRun } from "./comparedRun.ts";
import { getQuantile } from "./getQuantile.ts";
import type { LoadResult } from "./loadResult.ts";
import { runComparedLoad } from "./runComparedLoad.ts";

const { concurrencyLimit, millisecondsPerToken, meanTokens } = comparedRun;
const maximumTokens = 1_000;
const meanRunTokens = meanTokens * (1 - Math.exp(-maximumTokens / meanTokens));
/** Capacity in requests per second. */
const capacity = concurrencyLimit * 1000 / millisecondsPerToken / meanRunTokens;
const large = "large";
const isSmall = (customer: string): boolean => customer !== large;

interface FairnessOptions {
    kind: string;
    customerCount: number;
    /** Load of all small customers together, as a fraction of the capacity. */
    smallLoad: number;
    /** Load of the large customer, as a fraction of the capacity. */
    largeLoad: number;
    durationMilliseconds: number;
}

/** Measures the effect of one large customer's burst on the small customers. */
export async function measureFairness(): Promise<void> {
    console.log("\nFairness: small customers (together half of the capacity) without and with a burst of a large one");
    for (
        const { customerCount, durationMilliseconds } of [
            { customerCount: 10, durationMilliseconds: 1_200_000 },
            { customerCount: 2_000, durationMilliseconds: 1_200_000 },
        ]
    ) {
        for (const kind of ["admission", "unbounded queue"]) {
            const options = { kind, customerCount, smallLoad: 0.5, durationMilliseconds };
            const calm = await runFairness({ ...options, largeLoad: 0.2 });
            const burst = await runFairness({ ...options, largeLoad: 3 });
            console.log([
                `${customerCount} customers`,
                kind.padEnd(15),
                compare("total p99", calm.getTotals(isSmall), burst.getTotals(isSmall)),
                compare("total p99 of short runs", calm.getShortTotals(isSmall), burst.getShortTotals(isSmall)),
                compare("wait p95", calm.getWaits(isSmall), burst.getWaits(isSmall), 0.95),
                compare("wait p99", calm.getWaits(isSmall), burst.getWaits(isSmall)),
                `small finished ${calm.getWaits(isSmall).length} and ${burst.getWaits(isSmall).length}`,
                `large finished ${
                    (burst.getWaits(name => !isSmall(name)).length
                        / (durationMilliseconds / 1000) / capacity).toFixed(3)
                } of capacity`,
            ].join(", "));
        }
    }
}

function compare(name: string, calm: readonly number[], burst: readonly number[], quantile = 0.99): string {
    const before = getQuantile(calm, quantile);
    const after = getQuantile(burst, quantile);
    const change = before > 0 ? ` (x ${(after / before).toFixed(3)})` : "";
    return `${name} ${before.toFixed(0)} -> ${after.toFixed(0)} ms${change}`;
}

function runFairness(options: FairnessOptions): Promise<LoadResult> {
    const { kind, customerCount, smallLoad, largeLoad, durationMilliseconds } = options;
    const smallRate = smallLoad * capacity / (customerCount - 1);
    const rates = new Map<string, number>([[large, largeLoad * capacity]]);
    for (let index = 1; index < customerCount; index++) {
        rates.set(`small${index}`, smallRate);
    }
    return runComparedLoad({
        kind,
        rates,
        maximumTokens,
        durationMilliseconds,
        warmUpMilliseconds: 30_000,
        patienceMilliseconds: 30_000,
    });
}
