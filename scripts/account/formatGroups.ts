import type { AccountGroup } from "./accountGroup.ts";
import { formatMostFrequent } from "./formatMostFrequent.ts";

/**
 * Formats groups as the rows of a table, with a heading.
 * @param groups - The groups.
 * @param groupTitle - Heading of the column with the groups' names.
 */
export function formatGroups(groups: readonly AccountGroup[], groupTitle: string): string[][] {
    return [
        [
            "from second",
            groupTitle,
            "asked",
            "in time",
            "refused",
            "retry delay ms (median, maximum)",
            "sent after ms (median, 99th percentile)",
            "most frequent reason",
        ],
        ...groups.map(({ from, group, asked, inTime, refused, retryMilliseconds, sentMilliseconds, lost }) => [
            from === undefined ? "all" : String(from),
            group,
            String(asked),
            String(inTime),
            String(refused),
            retryMilliseconds === undefined ? "" : `${retryMilliseconds.median}, ${retryMilliseconds.maximum}`,
            sentMilliseconds === undefined ? "" : `${sentMilliseconds.median}, ${sentMilliseconds.percentile99}`,
            formatMostFrequent(lost),
        ]),
    ];
}
