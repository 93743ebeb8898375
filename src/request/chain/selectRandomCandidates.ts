import type { SelectCandidates } from "./selectCandidates.ts";

/**
 * Creates a function that selects a few random holders for each interval, so that nodes with the same stale report do
 * not all choose the same endpoint. See M. Mitzenmacher, "The power of two choices in randomized load balancing", 2001.
 * @param candidatesPerInterval - Maximum number of usable holders to select for each interval.
 */
export function selectRandomCandidates(candidatesPerInterval: number): SelectCandidates {
    return (holders, isUsable, random) => {
        const selected = new Set<number>();
        for (const interval of holders.graph.holderIndicesByInterval) {
            let remainingDraws = Math.min(2 * candidatesPerInterval, interval.length);
            let found = 0;
            for (
                let position = Math.floor(random() * interval.length);
                remainingDraws > 0 && found < candidatesPerInterval;
                remainingDraws--
            ) {
                const holder = interval[position] as number;
                if (selected.has(holder) || isUsable(holder)) {
                    selected.add(holder);
                    found++;
                }
                position = interval.length <= 2 * candidatesPerInterval
                    ? (position + 1) % interval.length
                    : Math.floor(random() * interval.length);
            }
        }
        return [...selected];
    };
}
