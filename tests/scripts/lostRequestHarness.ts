import { FaultTimeline } from "../../scripts/soak/faultTimeline.ts";
import { LogTail } from "../../scripts/soak/logTail.ts";
import type { CallRecord } from "../../scripts/soak/router/callRecord.ts";
import { CallViolations } from "../../scripts/soak/router/callViolations.ts";
import type { CheckContext } from "../../scripts/soak/router/checkContext.ts";
import { RouterFaults } from "../../scripts/soak/router/routerFaults.ts";
import { Violations } from "../../scripts/soak/violations.ts";

/** Shows a check one request that endpoint `one` has received, or not, beside the endpoint `two` of the same service. */
export class LostRequestHarness {
    /** Wall-clock time in milliseconds at which the request is sent. */
    static readonly sentAt = 10_000;
    readonly timeline = FaultTimeline.create();
    /** Wall-clock time in milliseconds at which the stage that received the request ended. */
    stageEndedAt: number | undefined;
    private readonly check: (context: CheckContext) => void;

    private constructor(check: (context: CheckContext) => void) {
        this.check = check;
    }

    /** Creates a harness of a check, without faults. */
    static create(check: (context: CheckContext) => void): LostRequestHarness {
        return new LostRequestHarness(check);
    }

    /** Adds a fault, by default of a second from when the request is sent. */
    addFault(kind: string, target: string, from = LostRequestHarness.sentAt, to = from + 1_000): void {
        Object.assign(this.timeline.start(kind, target), { from, to });
    }

    /** Counts the violations of a request that lasts for 0.9 s by default. */
    count(changes: Partial<CallRecord>, service = "model", hasReceived = true): number {
        const { sentAt } = LostRequestHarness;
        const record = { id: "call-1", node: "node-0", sentAt, endedAt: sentAt + 900, leftAt: undefined, ...changes };
        const violations = Violations.create(this.timeline, LogTail.create(), () => undefined);
        this.check({
            endpoints: [
                this.createEndpoint("one", service, hasReceived),
                this.createEndpoint("two", service, false),
            ] as never,
            faults: RouterFaults.create(this.timeline),
            violations: CallViolations.create(violations),
            records: new Map([["call-1", record as CallRecord]]),
        });
        return violations.getAll().length;
    }

    private createEndpoint(name: string, service: string, hasReceived: boolean) {
        const isReceivingStage = hasReceived && service === "model";
        const { stageEndedAt = Infinity } = this;
        return {
            name,
            isStage: () => service === "model",
            getService: () => service,
            history: {
                hasReceived: () => hasReceived,
                hasChanged: (from: number, to: number) =>
                    isReceivingStage && stageEndedAt >= from && stageEndedAt <= to,
            },
        };
    }
}
