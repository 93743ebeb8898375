import type { Crossing } from "./crossing.ts";

/**
 * Lists the links between data centres that a chain uses, in order.
 * @param dataCentres - Data centres of the chain's stages, in order.
 */
export function listCrossings(dataCentres: readonly string[]): Crossing[] {
    const crossings: Crossing[] = [];
    for (const [index, from] of dataCentres.entries()) {
        const to = dataCentres[index + 1];
        if (to !== undefined && to !== from) {
            crossings.push({ from, to });
        }
    }
    return crossings;
}
