import { measureConcurrency } from "./measureConcurrency.ts";
import { measureCost } from "./measureCost.ts";
import { measureFairness } from "./measureFairness.ts";
import { measureGoodput } from "./measureGoodput.ts";
import { measureRetries } from "./measureRetries.ts";
import { measureSharedLimits } from "./measureSharedLimits.ts";

const measurements: Record<string, () => Promise<void>> = {
    goodput: measureGoodput,
    fairness: measureFairness,
    limits: measureSharedLimits,
    returns: measureRetries,
    concurrency: measureConcurrency,
    cost: measureCost,
};
const selected = process.argv.slice(2);
for (const [name, measure] of Object.entries(measurements)) {
    if (selected.length === 0 || selected.includes(name)) {
        const startedAt = performance.now();
        await measure();
        console.log(`(${name}: ${((performance.now() - startedAt) / 1000).toFixed(1)} s)`);
    }
}
