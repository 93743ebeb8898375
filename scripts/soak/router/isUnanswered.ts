import type { CallRecord } from "./callRecord.ts";
import { notRunStatuses } from "./notRunStatuses.ts";

const okStatus = 200;

/** Gets if a request whose caller waited has no complete answer, and no refusal that guarantees that it has not run. */
export function isUnanswered({ leftAt, isComplete, status }: CallRecord): boolean {
    return leftAt === undefined && (!isComplete || status !== okStatus && !notRunStatuses.includes(status));
}
