import type { SelectCandidates } from "../../src/request/chain/selectCandidates.ts";

/**
 * Creates a function that selects holders at random, in proportion to a maximum flow.
 * @param flows - For each model and interval, the flow of each holder.
 * @param draws - Number of draws for each interval.
 */
export function selectByFlow(flows: ReadonlyMap<string, readonly Float64Array[]>, draws: number): SelectCandidates {
    return (holders, isUsable, random) => {
        const selected = new Set<number>();
        for (const row of flows.get(holders.model) ?? []) {
            const total = row.reduce((sum, flow) => sum + flow, 0);
            for (let draw = 0; draw < draws; draw++) {
                const holder = drawHolder(row, random() * total);
                if (isUsable(holder)) {
                    selected.add(holder);
                }
            }
        }
        return [...selected];
    };
}

/** Finds the holder at a point of the row's cumulative flow. */
function drawHolder(row: Float64Array, point: number): number {
    let remaining = point;
    for (let holder = 0; holder < row.length; holder++) {
        remaining -= row[holder] ?? 0;
        if (remaining < 0) {
            return holder;
        }
    }
    return row.length - 1;
}
