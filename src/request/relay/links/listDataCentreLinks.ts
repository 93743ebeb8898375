import type { DataCentreLink } from "./dataCentreLink.ts";

/**
 * Lists the links between data centres that a chain uses, in order.
 * @param dataCentres - Data centres of the chain's stages, in order.
 */
export function listDataCentreLinks(dataCentres: readonly string[]): DataCentreLink[] {
    const links: DataCentreLink[] = [];
    for (const [index, from] of dataCentres.entries()) {
        const to = dataCentres[index + 1];
        if (to !== undefined && to !== from) {
            links.push({ from, to });
        }
    }
    return links;
}
