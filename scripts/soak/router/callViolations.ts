import type { Violations } from "../violations.ts";
import type { CallRecord } from "./callRecord.ts";
import type { EndpointRun } from "./endpointRun.ts";

/** Adds violations of requests to those of the soak test. */
export class CallViolations {
    private readonly violations: Violations;

    private constructor(violations: Violations) {
        this.violations = violations;
    }

    /** Creates an adapter of the violations. */
    static create(violations: Violations): CallViolations {
        return new CallViolations(violations);
    }

    /** Adds a violation of a request. */
    add(kind: string, text: string, { id, node, sentAt, endedAt }: CallRecord): void {
        this.violations.add({ kind, message: `${id} at ${node}: ${text}`, from: sentAt, to: endedAt, names: [node] });
    }

    /** Adds a violation at the arrival of a request at an endpoint. */
    addForRun(
        kind: string,
        text: string,
        { id, endpointId, arrivedAt }: Pick<EndpointRun, "id" | "endpointId" | "arrivedAt">,
        record?: CallRecord,
    ): void {
        const message = `${id} at ${endpointId}: ${text}`;
        const names = record && [record.node];
        this.violations.add({ kind, message, from: arrivedAt, to: arrivedAt, names });
    }

    /** Adds a violation in a time span of wall-clock milliseconds. */
    addForSpan(kind: string, message: string, from: number, to: number): void {
        this.violations.add({ kind, message, from, to });
    }
}
