/** Something to choose, with its ranks. */
interface RankedChoice {
    /** Ranks, compared in order as long as they are equal. Lower ranks are preferred. */
    ranks: readonly number[];
}

/** Gets the choice with the lowest ranks; the first one if several are equal. */
export function chooseLowestRanked<Choice extends RankedChoice>(choices: Iterable<Choice>): Choice | undefined {
    let best: Choice | undefined;
    for (const choice of choices) {
        if (best === undefined || compareRanks(choice.ranks, best.ranks) < 0) {
            best = choice;
        }
    }
    return best;
}

function compareRanks(left: readonly number[], right: readonly number[]): number {
    for (const [index, rank] of left.entries()) {
        const difference = rank - right[index]!;
        if (difference !== 0) {
            return difference;
        }
    }
    return 0;
}
