import { budgets } from "./budgets.ts";
import { letterSize } from "./letterSize.ts";
import type { SlopeTable } from "./slopeTable.ts";
import type { Total } from "./total.ts";

/** The defaults of the configuration, and a setting that fits the letter's size better. */
const settings = [
    { shards: 4, appendIntervalMilliseconds: 20 },
    { shards: 52, appendIntervalMilliseconds: 200 },
];
/** Window and margin of a claim in memory, and the whole ring with its slack; getRingSize.ts. */
const memorySeconds = 360;
const ringSeconds = 420 * 1.1;
const measuredAppendsPerSecond = 50;

/** Works out the owner of one shard where every request claims its key: the most that can be asked of it. */
export function computeClaimTotals(slopes: SlopeTable): Total[] {
    return settings.flatMap(({ shards, appendIntervalMilliseconds }) => {
        const rate = letterSize.requestsPerSecond / shards;
        const appends = 1_000 / appendIntervalMilliseconds;
        const role = `claim owner, 1 of ${shards} shards, ${appendIntervalMilliseconds} ms`;
        const perAppend = slopes.getValue("claims.processor", 0) / measuredAppendsPerSecond;
        const decisions = appends * perAppend + rate * slopes.getSlope("claims.processor");
        const calls = rate * slopes.getSlope("peers.claim") / 1_000;
        const ring = rate * ringSeconds / 1_000;
        const memory = slopes.getValue("takeover.heap", rate * memorySeconds / 1_000) * 1_024 / 1e6;
        const writes = shards * slopes.getValue("claims.writesByInterval", appends);
        const control = budgets.controlMilliseconds;
        const bytes = rate * slopes.getSlope("peers.claimBytes") / 1_000;
        return [
            { role, quantity: "store writes, all shards", value: writes, unit: "1/s", budget: budgets.storeWrites },
            { role, quantity: "processor, appends", value: decisions, unit: "ms/s", budget: control },
            { role, quantity: "processor, claim calls", value: calls, unit: "ms/s", budget: control },
            { role, quantity: "bytes, claim calls", value: bytes, unit: "KB/s", budget: budgets.controlKilobytes },
            { role, quantity: "memory", value: memory, unit: "MB", budget: budgets.controlMegabytes },
            { role, quantity: "takeover", value: slopes.getValue("takeover.wall", ring), unit: "ms" },
            { role, quantity: "takeover, reads", value: slopes.getValue("takeover.reads", ring), unit: "calls" },
            { role, quantity: "takeover, bytes", value: slopes.getValue("takeover.bytes", ring) / 976.6, unit: "MB" },
        ];
    });
}
