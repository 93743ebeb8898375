import type { FaultTimeline } from "./faultTimeline.ts";
import type { SendRecord } from "./sendRecord.ts";
import type { Violations } from "./violations.ts";

/** Faults that may interrupt the requests in flight at a node. */
const cuttingFaults = ["nodeKill", "nodeFreeze"];

/**
 * Checks a response as soon as it has ended: it must be correct, and it must not be interrupted while its node is up.
 * @param record - The attempt as its caller saw it.
 * @param timeline - The injected faults.
 * @param violations - Receives the violations.
 */
export function checkAnswer(record: SendRecord, timeline: FaultTimeline, violations: Violations): void {
    const { plan, node, outcome, sentAt, endedAt, message } = record;
    const span = { from: sentAt, to: endedAt, names: [node] };
    const what = `Request ${plan.number} (${plan.service}${plan.isStreamed ? ", streamed" : ""}) at ${node}`;
    if (outcome === "wrong") {
        violations.add({ kind: "wrongAnswer", message: `${what}: ${message}`, ...span });
    }
    if (outcome === "cut" && !timeline.hasDuring(cuttingFaults, sentAt, endedAt, node)) {
        const text = `${what} was interrupted after ${endedAt - sentAt} ms: ${record.errorCode} ${message}`;
        violations.add({ kind: "cutOff", message: text, ...span });
    }
    if (outcome === "invalid") {
        const text = `${what} was rejected as invalid: ${record.errorCode} ${message}`;
        violations.add({ kind: "calledInvalid", message: text, ...span });
    }
    if (record.execution > 1 && plan.idempotencyKey !== undefined) {
        const text = `${what} received the response of execution ${record.execution}`;
        violations.add({ kind: "executedTwice", message: text, ...span });
    }
}
