import type { SelectCandidates } from "./selectCandidates.ts";

/**
 * Makes a selection of a few random holders for each interval, so that nodes with the same stale report do not all
 * choose the same endpoint. Idea: M. Mitzenmacher, "The power of two choices in randomized load balancing", 2001.
 * @param choices - Usable holders to draw for each interval; all are taken where there are no more.
 */
export function selectRandomCandidates(choices: number): SelectCandidates {
    return (holders, isUsable, random) => {
        const selected = new Set<number>();
        for (const interval of holders.graph.holdersOfInterval) {
            let tries = Math.min(2 * choices, interval.length);
            let found = 0;
            for (let start = Math.floor(random() * interval.length); tries > 0 && found < choices; tries--) {
                const holder = interval[start] as number;
                if (selected.has(holder) || isUsable(holder)) {
                    selected.add(holder);
                    found++;
                }
                start = interval.length <= 2 * choices
                    ? (start + 1) % interval.length
                    : Math.floor(random() * interval.length);
            }
        }
        return [...selected];
    };
}
