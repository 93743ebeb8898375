import { setTimeout as sleep } from "node:timers/promises";
import type { LocalDeployment } from "../deployment/localDeployment.ts";
import type { NodeFleet } from "./nodeFleet.ts";
import { createRequestPlan, type RequestPlan } from "./requestPlan.ts";
import type { SeededRandom } from "./seededRandom.ts";
import { sendPlanned } from "./sendPlanned.ts";
import type { SendRecord } from "./sendRecord.ts";

/** Options of {@link PlannedCallers}. */
interface PlannedCallersOptions {
    deployment: LocalDeployment;
    fleet: NodeFleet;
    /** Used to create the plans. */
    random: SeededRandom;
    /** Used to choose nodes. Separate because retries depend on timing, while the plans must depend on the seed alone. */
    nodeRandom: SeededRandom;
    /** Called after each attempt. */
    onSent(record: SendRecord): void;
}

/** Outcomes after which a caller with an idempotency key retries. */
const unclearOutcomes: ReadonlySet<string> = new Set(["cut", "notConnected", "notRun", "running", "left"]);
const maximumAttempts = 5;
const millisecondsPerSecond = 1_000;

/** Simulated callers that send planned requests; some retry, disconnect early or read slowly. */
export class PlannedCallers {
    private readonly options: PlannedCallersOptions;

    private constructor(options: PlannedCallersOptions) {
        this.options = options;
    }

    /** Creates callers that are idle until {@link PlannedCallers.send} is called. */
    static create(options: PlannedCallersOptions): PlannedCallers {
        return new PlannedCallers(options);
    }

    /** Plans and sends a request, including its retries; resolves after the last response. */
    send(number: number): Promise<void> {
        const plan = createRequestPlan(this.options.random, number);
        return plan.idempotencyKey === undefined ? this.sendWithoutKey(plan) : this.sendWithKey(plan);
    }

    private async sendWithoutKey(plan: RequestPlan): Promise<void> {
        await this.sendAttempt(plan, true);
    }

    /** Retries with the same idempotency key through another node until the outcome is clear. */
    private async sendWithKey(plan: RequestPlan): Promise<void> {
        const first = this.sendAttempt(plan, true);
        const duplicate = plan.isSentTwice ? this.sendAttempt(plan, false) : undefined;
        let last = await first;
        await duplicate;
        for (let attempts = 1; attempts < maximumAttempts; attempts += 1) {
            const isUnclear = unclearOutcomes.has(last.outcome);
            const isPlanned = attempts === 1 && plan.repeatAfterMilliseconds > 0;
            if (!isUnclear && !isPlanned) {
                return;
            }
            await sleep(plan.repeatAfterMilliseconds || millisecondsPerSecond);
            last = await this.sendAttempt(plan, false, last.node);
        }
    }

    private async sendAttempt(plan: RequestPlan, mayDisconnect: boolean, except?: string): Promise<SendRecord> {
        const { deployment, fleet, nodeRandom, onSent } = this.options;
        const { name, callerAddress } = fleet.choose(nodeRandom, except);
        const record = await sendPlanned({ deployment, plan, node: name, address: callerAddress, mayDisconnect });
        onSent(record);
        return record;
    }
}
