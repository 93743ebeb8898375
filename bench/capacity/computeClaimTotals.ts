import { budgets } from "./budgets.ts";
import { designSize } from "./designSize.ts";
import type { SlopeTable } from "./slopeTable.ts";
import type { Total } from "./total.ts";

/** The defaults of the configuration, and settings that fit the design size better. */
const settings = [
    { shards: 4, appendIntervalMilliseconds: 20 },
    { shards: 52, appendIntervalMilliseconds: 200 },
];
/** Time that an owner keeps a claim in memory: the window and a margin. */
const retentionSeconds = 360;
/** Time that the slots of a ring cover, including the slack that `getRingSize` adds. */
const ringSeconds = 420 * 1.1;
/** Appends per second in the measurement of `claims.processor`. */
const measuredAppendsPerSecond = 50;

/** Computes the totals of the owner of one shard in the worst case, in which every request claims its key. */
export function computeClaimTotals(slopes: SlopeTable): Total[] {
    return settings.flatMap(({ shards, appendIntervalMilliseconds }) => {
        const claimsPerSecond = designSize.requestsPerSecond / shards;
        const appendsPerSecond = 1_000 / appendIntervalMilliseconds;
        const role = `claim owner, 1 of ${shards} shards, ${appendIntervalMilliseconds} ms`;
        const processorPerAppend = slopes.getValue("claims.processor", 0) / measuredAppendsPerSecond;
        const appendProcessor = appendsPerSecond * processorPerAppend
            + claimsPerSecond * slopes.getSlope("claims.processor");
        const callProcessor = claimsPerSecond * slopes.getSlope("peers.claim") / 1_000;
        const ringThousandClaims = claimsPerSecond * ringSeconds / 1_000;
        const memory = slopes.getValue("takeover.heap", claimsPerSecond * retentionSeconds / 1_000) * 1_024 / 1e6;
        const writes = shards * slopes.getValue("claims.writesByInterval", appendsPerSecond);
        const processorBudget = budgets.controlMillisecondsPerSecond;
        const callKilobytes = claimsPerSecond * slopes.getSlope("peers.claimBytes") / 1_000;
        return [
            {
                role,
                quantity: "store writes, all shards",
                value: writes,
                unit: "1/s",
                budget: budgets.storeWritesPerSecond,
            },
            { role, quantity: "processor, appends", value: appendProcessor, unit: "ms/s", budget: processorBudget },
            { role, quantity: "processor, claim calls", value: callProcessor, unit: "ms/s", budget: processorBudget },
            {
                role,
                quantity: "bytes, claim calls",
                value: callKilobytes,
                unit: "KB/s",
                budget: budgets.controlKilobytesPerSecond,
            },
            { role, quantity: "memory", value: memory, unit: "MB", budget: budgets.memoryMegabytes },
            { role, quantity: "takeover", value: slopes.getValue("takeover.wall", ringThousandClaims), unit: "ms" },
            {
                role,
                quantity: "takeover, reads",
                value: slopes.getValue("takeover.reads", ringThousandClaims),
                unit: "calls",
            },
            {
                role,
                quantity: "takeover, bytes",
                // The slope is in KiB; 1 MB is 976.6 KiB.
                value: slopes.getValue("takeover.bytes", ringThousandClaims) / 976.6,
                unit: "MB",
            },
        ];
    });
}
