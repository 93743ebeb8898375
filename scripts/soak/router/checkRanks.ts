import type { Violations } from "../violations.ts";
import type { CallRecord } from "./callRecord.ts";
import { findRankInversions } from "./findRankInversions.ts";
import { modelRanks } from "./modelRanks.ts";

/** Message of a refusal for lack of capacity, unlike for lost layers, limits or links. */
const capacityPattern = /wait too long for capacity|no capacity became available|no chain had free capacity/;

/**
 * Checks that the first rank is not refused for lack of capacity while the last rank is admitted.
 * @param records - Requests at nodes without faults.
 * @param isAdmitted - Gets if an endpoint has run a request.
 * @param violations - Receives the violations.
 */
export function checkRanks(
    records: readonly CallRecord[],
    isAdmitted: (requestId: string) => boolean,
    violations: Violations,
): void {
    const calls = records.filter(({ kind }) => modelRanks[kind] !== undefined)
        .map(({ id, kind, node, sentAt, endedAt, status, text }) => ({
            id,
            rank: modelRanks[kind]!,
            node,
            sentAt,
            endedAt,
            isRefused: (status === 429 || status === 503) && capacityPattern.test(text),
            isAdmitted: isAdmitted(id),
        }));
    for (const { from, to, refused, admitted, maximumAdmitted } of findRankInversions(calls)) {
        const since = refused[0]!.endedAt;
        const message =
            `${admitted.length} requests of the last rank were admitted (${maximumAdmitted} allowed) while the first `
            + `was refused ${refused.length} times in ${to - since} ms, last ${refused.at(-1)!.id}.`;
        violations.add({ kind: "ranks", message, from, to });
    }
}
