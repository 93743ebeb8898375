import { request } from "undici";
import type { LocalDeployment } from "../deployment/localDeployment.ts";
import type { SendRecord } from "./sendRecord.ts";
import type { Violations } from "./violations.ts";

/** Counts of keys by what came of them. */
export interface KeyCounts {
    keys: number;
    executed: number;
    /** Keys of which every sending was answered as not run. */
    notRun: number;
    /** Keys that were executed and whose caller has no whole answer. */
    executedWithoutAnswer: number;
}

/** A refusal that tells of the key, and not only of this one sending. */
const claimRefusalCode = "claims_unavailable";
/** The answer where the claim of a key could not be checked; it calls nothing not run. */
const undecidedCode = "claim_undecided";

/**
 * Checks all keys at the end: none was executed twice, and one that was refused as not run was not executed.
 * @param deployment - Its document services hold the record.
 * @param records - All sendings.
 * @param violations - Takes what is wrong.
 */
export async function checkKeys(
    deployment: LocalDeployment,
    records: readonly SendRecord[],
    violations: Violations,
): Promise<KeyCounts> {
    const executions = await readExecutions(deployment);
    const counts: KeyCounts = { keys: 0, executed: 0, notRun: 0, executedWithoutAnswer: 0 };
    for (const [key, sendings] of groupByKey(records)) {
        const isDocument = sendings[0]!.plan.kind === "document";
        const executed = isDocument ? executions.get(key) ?? 0 : countRuns(sendings);
        const isAnswered = sendings.some(({ outcome }) => outcome === "finished");
        counts.keys += 1;
        counts.executed += executed > 0 ? 1 : 0;
        counts.notRun += sendings.every(({ outcome }) => outcome === "notRun") ? 1 : 0;
        counts.executedWithoutAnswer += executed > 0 && !isAnswered ? 1 : 0;
        checkKey(key, sendings, executed, violations);
    }
    return counts;
}

function checkKey(key: string, sendings: readonly SendRecord[], executed: number, violations: Violations): void {
    const from = Math.min(...sendings.map(({ sentAt }) => sentAt));
    const to = Math.max(...sendings.map(({ endedAt }) => endedAt));
    const add = (kind: string, text: string) => {
        violations.add({ kind, message: `Key ${key}: ${text}. ${describe(sendings)}`, from, to });
    };
    if (executed > 1) {
        add("executedTwice", `${executed} executions`);
    }
    if (executed === 0 && sendings.some(({ outcome, plan }) => outcome === "finished" && plan.kind === "document")) {
        add("answeredWithoutExecution", "a whole answer, and no execution");
    }
    if (executed > 0 && sendings.every(({ outcome }) => outcome === "notRun" || outcome === "notConnected")) {
        add("notRunButExecuted", "refused as not run, and executed");
    }
    if (sendings.some(({ outcome, errorCode }) => (outcome === "undecided") !== (errorCode === undecidedCode))) {
        add("undecidedMisused", "the outcome undecided and its code do not stand together");
    }
    if (sendings.some(({ outcome, errorCode }) => errorCode === claimRefusalCode && outcome !== "notRun")) {
        add("refusalMisused", "a refusal of the claim does not say not run");
    }
    // A refusal of the claim speaks of the key: what an earlier sending has run must not be called not run.
    for (const refused of sendings.filter(({ errorCode }) => errorCode === claimRefusalCode)) {
        const earlier = sendings.find(other => other.outcome === "finished" && other.endedAt < refused.sentAt);
        const isOnlyEarlier = sendings.every(other => other.endedAt <= refused.endedAt || other.outcome === "notRun");
        if (earlier !== undefined || (executed > 0 && isOnlyEarlier)) {
            add("notRunAfterRun", "a repeat was refused as not run by its claim, and the key had run");
            return;
        }
    }
}

/** Answers of a chat with a key that were generated, and not replayed. */
function countRuns(sendings: readonly SendRecord[]): number {
    return sendings.filter(({ outcome, isReplayed }) => outcome === "finished" && !isReplayed).length;
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

function describe(sendings: readonly SendRecord[]): string {
    const first = sendings[0]!.sentAt;
    const parts = sendings.map(({ node, outcome, errorCode, sentAt, endedAt, isReplayed }) => {
        const end = `${outcome}${errorCode === "" ? "" : ` ${errorCode}`}${isReplayed ? " replayed" : ""}`;
        return `${node} [${sentAt - first}..${endedAt - first}] ${end}`;
    });
    return `${sendings[0]!.plan.service}: ${parts.join("; ")}`;
}
