import { setTimeout as sleep } from "node:timers/promises";
import type { LocalDeployment } from "../deployment/localDeployment.ts";
import type { NodeFleet } from "./nodeFleet.ts";
import { createRequestPlan, type RequestPlan } from "./requestPlan.ts";
import type { SeededRandom } from "./seededRandom.ts";
import { sendPlanned } from "./sendPlanned.ts";
import type { SendRecord } from "./sendRecord.ts";

/** Options of a {@link RequestLoad}. */
interface RequestLoadOptions {
    deployment: LocalDeployment;
    fleet: NodeFleet;
    /** Makes the plans. */
    random: SeededRandom;
    /** Chooses nodes, as answers come; apart, so that the plans depend on the seed alone. */
    nodeRandom: SeededRandom;
    requestsPerSecond: number;
    maximumRequests: number;
    /** Takes each sending once it has ended. */
    onSent(record: SendRecord): void;
}

/** Outcomes after which a caller with a key asks again. */
const unclearOutcomes: ReadonlySet<string> = new Set(["cut", "notConnected", "notRun", "running", "left"]);
const maximumSends = 5;
const maximumInProgress = 250;
const millisecondsPerSecond = 1_000;

/** A steady load of planned requests, sent by callers of which some repeat, go away or read slowly. */
export class RequestLoad {
    private readonly options: RequestLoadOptions;
    private readonly running = new Set<Promise<void>>();
    private count = 0;
    private isStopped = false;

    private constructor(options: RequestLoadOptions) {
        this.options = options;
    }

    /** Creates a load that sends nothing before {@link RequestLoad.run}. */
    static create(options: RequestLoadOptions): RequestLoad {
        return new RequestLoad(options);
    }

    /** Requests that were begun. */
    getCount(): number {
        return this.count;
    }

    /** Sends until stopped or all requests are sent, and waits for the last answer. */
    async run(): Promise<void> {
        const { random, requestsPerSecond, maximumRequests } = this.options;
        const meanMilliseconds = millisecondsPerSecond / requestsPerSecond;
        while (!this.isStopped && this.count < maximumRequests) {
            if (this.running.size < maximumInProgress) {
                this.count += 1;
                this.begin(createRequestPlan(random, this.count));
            }
            await sleep(random.chooseInteger(0, Math.round(2 * meanMilliseconds)));
        }
        while (this.running.size > 0) {
            await Promise.all(this.running);
        }
    }

    /** Begins no further request. */
    stop(): void {
        this.isStopped = true;
    }

    private begin(plan: RequestPlan): void {
        const sending = plan.idempotencyKey === undefined ? this.sendOnce(plan) : this.sendKeyed(plan);
        const running: Promise<void> = sending.finally(() => this.running.delete(running));
        this.running.add(running);
    }

    private async sendOnce(plan: RequestPlan): Promise<void> {
        await this.send(plan, true);
    }

    /** A caller with a key asks again with the same key, through another node, until it knows. */
    private async sendKeyed(plan: RequestPlan): Promise<void> {
        const first = this.send(plan, true);
        const doubled = plan.isDoubled ? this.send(plan, false) : undefined;
        let last = await first;
        await doubled;
        for (let sends = 1; sends < maximumSends; sends += 1) {
            const isUnclear = unclearOutcomes.has(last.outcome);
            const isPlanned = sends === 1 && plan.repeatAfterMilliseconds > 0;
            if (!isUnclear && !isPlanned) {
                return;
            }
            await sleep(plan.repeatAfterMilliseconds || millisecondsPerSecond);
            last = await this.send(plan, false, last.node);
        }
    }

    private async send(plan: RequestPlan, mayLeave: boolean, except?: string): Promise<SendRecord> {
        const { deployment, fleet, nodeRandom, onSent } = this.options;
        const { name, callerAddress } = fleet.choose(nodeRandom, except);
        const record = await sendPlanned({ deployment, plan, node: name, address: callerAddress, mayLeave });
        onSent(record);
        return record;
    }
}
