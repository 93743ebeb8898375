import { VirtualClock } from "../../tests/support/virtualClock.ts";
import { BenchGate } from "./benchGate.ts";
import { comparedRun } from "./comparedRun.ts";
import { createBenchConfiguration } from "./createBenchConfiguration.ts";
import { createRandom } from "./createRandom.ts";
import { type LoadStream, runLoadModel } from "./loadModel.ts";
import type { LoadResult } from "./loadResult.ts";

/** Options for one run: the gate, the load, and how long callers wait. */
interface ComparedLoad {
    /** `admission` for the admission control of production; any other value for the unbounded queue. */
    kind: string;
    /** New requests per second, by customer. */
    rates: ReadonlyMap<string, number>;
    maximumTokens: number;
    durationMilliseconds: number;
    warmUpMilliseconds: number;
    patienceMilliseconds: number;
}

const maximumRetries = 3;

/** Runs a constant load against one of the gates. */
export function runComparedLoad({ kind, rates, ...load }: ComparedLoad): Promise<LoadResult> {
    const { concurrencyLimit, ...run } = comparedRun;
    const clock = VirtualClock.create();
    const configuration = createBenchConfiguration(Object.fromEntries([...rates.keys()].map(name => [name, {}])));
    const gate = kind === "admission"
        ? BenchGate.createAdmission({
            getConfiguration: () => configuration,
            clock,
            random: createRandom(2),
            getConcurrencyLimit: () => concurrencyLimit,
        })
        : BenchGate.createFirstInFirstOut(concurrencyLimit);
    const streams: LoadStream[] = [];
    for (const [customer, rate] of rates) {
        streams.push({ customer, getRequestsPerSecond: () => rate, maximumRequestsPerSecond: rate });
    }
    return runLoadModel({ clock, random: createRandom(1), gate, streams, maximumRetries, ...run, ...load });
}
