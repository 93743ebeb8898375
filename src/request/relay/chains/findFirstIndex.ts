/**
 * Finds the first index for which a condition holds, by binary search. If it holds for an index, it must hold for all later ones.
 * @param count - Number of indexes.
 * @param holds - The condition.
 * @returns The index; `count` if the condition holds for none.
 */
export function findFirstIndex(count: number, holds: (index: number) => boolean): number {
    let start = 0;
    let end = count;
    while (start < end) {
        const middle = Math.floor((start + end) / 2);
        if (holds(middle)) {
            end = middle;
        }
        else {
            start = middle + 1;
        }
    }
    return start;
}
