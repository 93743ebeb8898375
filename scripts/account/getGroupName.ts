import { Grouping } from "./grouping.ts";
import type { RequestEnd } from "./requestEnd.ts";

/** Name of the group of requests without a customer, an endpoint or a kind of endpoint. */
const noneName = "none";

/**
 * Gets the name of the group that a request belongs to.
 * @returns Undefined if the log doesn't tell it.
 */
export function getGroupName(end: RequestEnd, grouping: Grouping): string | undefined {
    switch (grouping) {
        case Grouping.Rank:
            return end.rank?.toString();
        case Grouping.Customer:
            return end.customer === "" ? noneName : end.customer;
        case Grouping.DataCentre:
            return end.dataCentre;
        case Grouping.RunAt:
            return getRunAt(end);
        case Grouping.Kind:
            return end.kinds && formatSet(end.kinds);
    }
}

function getRunAt({ dataCentre, dataCentres }: RequestEnd): string | undefined {
    if (dataCentre === undefined || dataCentres === undefined) {
        return undefined;
    }
    const others = dataCentres.filter(name => name !== dataCentre);
    if (others.length > 0) {
        return `${dataCentre} over ${formatSet(others)}`;
    }
    return dataCentres.length > 0 ? "own only" : noneName;
}

function formatSet(names: readonly string[]): string {
    return names.length === 0 ? noneName : [...new Set(names)].sort().join("+");
}
