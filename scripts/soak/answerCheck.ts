import type { FaultTimeline } from "./faultTimeline.ts";
import type { SendRecord } from "./sendRecord.ts";
import type { Violations } from "./violations.ts";

/** Faults that may cut off what runs at a node. */
const cuttingFaults = ["nodeKill", "nodeFreeze"];

/**
 * Checks one answer as soon as it has ended: it is the right one, and it was not cut off while its node was up.
 * @param record - What the caller saw.
 * @param timeline - Faults that were shown.
 * @param violations - Takes what is wrong.
 */
export function checkAnswer(record: SendRecord, timeline: FaultTimeline, violations: Violations): void {
    const { plan, node, outcome, sentAt, endedAt, message } = record;
    const span = { from: sentAt, to: endedAt, names: [node] };
    const what = `Request ${plan.number} (${plan.service}${plan.isStreamed ? ", streamed" : ""}) at ${node}`;
    if (outcome === "wrong") {
        violations.add({ kind: "wrongAnswer", message: `${what}: ${message}`, ...span });
    }
    if (outcome === "cut" && !timeline.hasDuring(cuttingFaults, sentAt, endedAt, node)) {
        const text = `${what} broke off after ${endedAt - sentAt} ms: ${record.errorCode} ${message}`;
        violations.add({ kind: "cutOff", message: text, ...span });
    }
    if (outcome === "invalid") {
        const text = `${what} was called invalid: ${record.errorCode} ${message}`;
        violations.add({ kind: "calledInvalid", message: text, ...span });
    }
    if (record.execution > 1 && plan.idempotencyKey !== undefined) {
        const text = `${what} got the answer of execution ${record.execution}`;
        violations.add({ kind: "executedTwice", message: text, ...span });
    }
}
