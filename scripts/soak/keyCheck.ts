import { request } from "undici";
import type { LocalDeployment } from "../deployment/localDeployment.ts";
import type { SendRecord } from "./sendRecord.ts";
import type { Violations } from "./violations.ts";

/** Counts of the idempotency keys by outcome. */
export interface KeyCounts {
    keys: number;
    executed: number;
    /** Keys whose attempts were all refused as not run. */
    notRun: number;
    /** Keys that were executed, but whose caller received no complete response. */
    executedWithoutAnswer: number;
}

/** Error code of a refusal that applies to the key and not only to one attempt. */
const claimRefusalCode = "claims_unavailable";
/** Error code if the claim of a key could not be checked; it does not imply that the request has not run. */
const undecidedCode = "claim_undecided";

/**
 * Checks all idempotency keys at the end: none was executed twice, and none that was refused as not run was executed.
 * @param deployment - Its document services record the executions.
 * @param records - All attempts.
 * @param violations - Receives the violations.
 */
export async function checkKeys(
    deployment: LocalDeployment,
    records: readonly SendRecord[],
    violations: Violations,
): Promise<KeyCounts> {
    const executions = await readExecutions(deployment);
    const counts: KeyCounts = { keys: 0, executed: 0, notRun: 0, executedWithoutAnswer: 0 };
    for (const [key, attempts] of groupByKey(records)) {
        const isDocument = attempts[0]!.plan.kind === "document";
        const executed = isDocument ? executions.get(key) ?? 0 : countRuns(attempts);
        const isAnswered = attempts.some(({ outcome }) => outcome === "finished");
        counts.keys += 1;
        counts.executed += executed > 0 ? 1 : 0;
        counts.notRun += attempts.every(({ outcome }) => outcome === "notRun") ? 1 : 0;
        counts.executedWithoutAnswer += executed > 0 && !isAnswered ? 1 : 0;
        checkKey(key, attempts, executed, violations);
    }
    return counts;
}

function checkKey(key: string, attempts: readonly SendRecord[], executed: number, violations: Violations): void {
    const from = Math.min(...attempts.map(({ sentAt }) => sentAt));
    const to = Math.max(...attempts.map(({ endedAt }) => endedAt));
    const add = (kind: string, text: string) => {
        violations.add({ kind, message: `Key ${key}: ${text}. ${describeAttempts(attempts)}`, from, to });
    };
    if (executed > 1) {
        add("executedTwice", `${executed} executions`);
    }
    if (executed === 0 && attempts.some(({ outcome, plan }) => outcome === "finished" && plan.kind === "document")) {
        add("answeredWithoutExecution", "complete response without an execution");
    }
    if (executed > 0 && attempts.every(({ outcome }) => outcome === "notRun" || outcome === "notConnected")) {
        add("notRunButExecuted", "refused as not run, but executed");
    }
    if (attempts.some(({ outcome, errorCode }) => (outcome === "undecided") !== (errorCode === undecidedCode))) {
        add("undecidedMisused", "the outcome 'undecided' and its error code do not match");
    }
    if (attempts.some(({ outcome, errorCode }) => errorCode === claimRefusalCode && outcome !== "notRun")) {
        add("refusalMisused", "a refused claim does not have the outcome 'notRun'");
    }
    // A refused claim applies to the key: it must not state that the key has not run if an earlier attempt was executed.
    for (const refused of attempts.filter(({ errorCode }) => errorCode === claimRefusalCode)) {
        const earlier = attempts.find(other => other.outcome === "finished" && other.endedAt < refused.sentAt);
        const isOnlyEarlier = attempts.every(other => other.endedAt <= refused.endedAt || other.outcome === "notRun");
        if (earlier !== undefined || (executed > 0 && isOnlyEarlier)) {
            add("notRunAfterRun", "the claim of a retry was refused as not run, but the key was executed before");
            return;
        }
    }
}

/** Counts the chat responses that were generated and not replayed. */
function countRuns(attempts: readonly SendRecord[]): number {
    return attempts.filter(({ outcome, isReplayed }) => outcome === "finished" && !isReplayed).length;
}

function groupByKey(records: readonly SendRecord[]): Map<string, SendRecord[]> {
    const keyed = records.filter(({ plan }) => plan.idempotencyKey !== undefined);
    const groups = Map.groupBy(keyed, ({ plan }) => plan.idempotencyKey!);
    for (const group of groups.values()) {
        group.sort((left, right) => left.sentAt - right.sentAt);
    }
    return groups;
}

async function readExecutions(deployment: LocalDeployment): Promise<Map<string, number>> {
    const executions = new Map<string, number>();
    for (const { address } of deployment.documents) {
        const response = await request(`http://${address}/standin/record`);
        const record = await response.body.json() as { executions: Record<string, number>; };
        for (const [key, count] of Object.entries(record.executions)) {
            executions.set(key, (executions.get(key) ?? 0) + count);
        }
    }
    return executions;
}

function describeAttempts(attempts: readonly SendRecord[]): string {
    const first = attempts[0]!.sentAt;
    const parts = attempts.map(({ node, outcome, errorCode, sentAt, endedAt, isReplayed }) => {
        const end = `${outcome}${errorCode === "" ? "" : ` ${errorCode}`}${isReplayed ? " replayed" : ""}`;
        return `${node} [${sentAt - first}..${endedAt - first}] ${end}`;
    });
    return `${attempts[0]!.plan.service}: ${parts.join("; ")}`;
}
