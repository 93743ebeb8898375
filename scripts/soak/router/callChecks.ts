import { countNames } from "../countNames.ts";
import type { FaultTimeline } from "../faultTimeline.ts";
import type { Violations } from "../violations.ts";
import { callKinds } from "./callKind.ts";
import type { CallRecord } from "./callRecord.ts";
import { CallViolations } from "./callViolations.ts";
import { checkBreaks } from "./checkBreaks.ts";
import { checkCallsBehind } from "./checkCallsBehind.ts";
import type { CheckContext } from "./checkContext.ts";
import { checkDisconnects } from "./checkDisconnects.ts";
import { checkDraining } from "./checkDraining.ts";
import { checkHarmfulRequests } from "./checkHarmfulRequests.ts";
import { checkInstructions } from "./checkInstructions.ts";
import { checkPromptSeries } from "./checkPromptSeries.ts";
import { checkRanks } from "./checkRanks.ts";
import { checkRateLimits } from "./checkRateLimits.ts";
import { checkReplacements } from "./checkReplacements.ts";
import { checkRunCounts } from "./checkRunCounts.ts";
import { checkSilences } from "./checkSilences.ts";
import type { EndpointRun } from "./endpointRun.ts";
import { eventsPerStream } from "./eventsPerStream.ts";
import type { RouterDeployment } from "./routerDeployment.ts";
import { RouterFaults } from "./routerFaults.ts";

/** Options of {@link CallChecks}. */
interface CallChecksOptions {
    deployment: RouterDeployment;
    timeline: FaultTimeline;
    violations: Violations;
}

/** Statuses that reject a request as invalid or unauthorized; all requests of the soak test are valid. */
const rejectionStatuses = [400, 401, 403, 404, 405, 413, 431];
const timeoutMilliseconds = 3_000;
/** Tolerance for late responses: the permitted 500 ms plus scheduling delays of a busy machine. */
const responseToleranceMilliseconds = 1_500;
const modelLayers = 8;
/** What the endpoints send in a stream. */
const eventsPattern = /^(?:id: \d+\ndata: [\w-]+\n\n)*$/;

/** Checks the invariants against the records of callers and endpoints. */
export class CallChecks {
    private readonly options: CallChecksOptions;
    private readonly records = new Map<string, CallRecord>();
    private readonly faults: RouterFaults;
    private readonly violations: CallViolations;

    private constructor(options: CallChecksOptions) {
        this.options = options;
        this.faults = RouterFaults.create(options.timeline);
        this.violations = CallViolations.create(options.violations);
    }

    /** Creates checks without records. */
    static create(options: CallChecksOptions): CallChecks {
        return new CallChecks(options);
    }

    /** Checks a completed request by the record of its caller. */
    checkAnswer(record: CallRecord): void {
        this.records.set(record.id, record);
        const { status, isComplete, signature, kind } = record;
        if (status === 200) {
            this.checkSuccess(record);
        }
        else if (signature !== undefined && status !== 500) {
            this.violations.add("statusChanged", `A signed response has status ${status}.`, record);
        }
        else if (rejectionStatuses.includes(status)) {
            this.violations.add(
                "denied",
                `A valid request of kind ${kind} was rejected with ${status}: ${record.text}`,
                record,
            );
        }
        const durationMilliseconds = record.endedAt - record.sentAt;
        const isOverdue = durationMilliseconds > timeoutMilliseconds + responseToleranceMilliseconds;
        if (
            record.leftAt === undefined && isOverdue && (!isComplete || status !== 200)
            && !this.faults.hasNodeFault(record)
        ) {
            this.violations.add(
                "held",
                `A request of kind ${kind} took ${durationMilliseconds} ms and ended with status ${status}.`,
                record,
            );
        }
    }

    /**
     * Checks the runs of all endpoints at the end.
     * @returns A line about each series of requests with a harmful part of the prompt.
     */
    checkRuns(): string[] {
        const runs = this.options.deployment.endpoints.flatMap(endpoint => endpoint.history.getRuns());
        const context = this.getContext();
        for (const run of runs) {
            this.checkRun(run, context);
        }
        checkDisconnects(runs, context);
        checkInstructions(context);
        checkRateLimits(runs, context);
        checkHarmfulRequests(runs, context);
        checkCallsBehind(context);
        checkSilences(context);
        checkReplacements(context);
        checkBreaks(context);
        const byRequest = Map.groupBy(runs, ({ id }) => id);
        for (const record of this.records.values()) {
            checkRunCounts(record, byRequest.get(record.id) ?? [], context);
        }
        const sound = [...this.records.values()].filter(record => !this.faults.hasNodeFault(record));
        checkRanks(sound, id => byRequest.has(id), this.options.violations);
        return checkPromptSeries(runs, context);
    }

    /** Describes the requests whose ids start with a prefix and that have no complete successful response. */
    listFailed(idPrefix: string): string[] {
        const failed = [...this.records.values()].filter(({ id, status, isComplete }) =>
            id.startsWith(idPrefix) && (status !== 200 || !isComplete)
        );
        return failed.map(({ id, node, status, reason, text }) => `${id} at ${node}: ${status} ${reason || text}`);
    }

    /** Counts the requests by kind and outcome. */
    getCounts(): Record<string, number> {
        const records = [...this.records.values()];
        return countNames(
            records.map(({ kind, status, isComplete, leftAt, aheadId }) => {
                const place = aheadId === undefined ? "" : " behind";
                const end = leftAt === undefined ? " cut" : " left";
                return `${kind}${place}/${status}${isComplete ? "" : end}`;
            }),
        );
    }

    private getContext(): CheckContext {
        const { faults, violations, records, options: { deployment: { endpoints } } } = this;
        return { endpoints, faults, violations, records };
    }

    private checkSuccess(record: CallRecord): void {
        if (record.signature === undefined) {
            this.violations.add("unsigned", "A successful response has no endpoint signature.", record);
            return;
        }
        const endpointId = record.signature.replace("seal-", "");
        if (record.kind === callKinds.safe || record.kind === callKinds.unsafe) {
            if (record.isComplete && record.text !== `answer of ${endpointId}`) {
                this.violations.add(
                    "mixedUp",
                    `The response body belongs to another request or endpoint: "${record.text}".`,
                    record,
                );
            }
            return;
        }
        const wholeEvents = record.text.slice(0, record.text.lastIndexOf("\n\n") + 2);
        if (!eventsPattern.test(wholeEvents)) {
            this.violations.add(
                "foreignBytes",
                `The response holds bytes that are no event: "${record.text}".`,
                record,
            );
        }
        const ids = [...record.text.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));
        const isInOrder = ids.every((id, index) => id === index + 1);
        if (!isInOrder || record.isComplete && ids.length !== eventsPerStream) {
            this.violations.add("events", `Events are missing, repeated or out of order: ${ids.join(" ")}.`, record);
        }
    }

    private checkRun(run: EndpointRun, context: CheckContext): void {
        const record = this.records.get(run.id);
        if (record === undefined) {
            this.violations.addForRun("unasked", "No caller sent this request.", run);
            return;
        }
        const isChanged = run.method !== record.method || run.url !== record.path || run.body !== record.body
            || run.headers["prompt-prefix"] !== record.role?.prefix;
        if (isChanged || run.headers["tenant"] !== record.customer || run.headers.authorization !== undefined) {
            this.violations.addForRun(
                "changed",
                `It arrived as ${run.method} ${run.url} of tenant ${run.headers["tenant"]}.`,
                run,
                record,
            );
        }
        const stages = run.headers["hop-count"];
        if (typeof stages === "string" && !coversLayersInOrder(stages)) {
            this.violations.addForRun("layers", `Its chain is ${stages}.`, run, record);
        }
        checkDraining(run, record, context);
    }
}

/** Gets if the stages of a chain, as HOST:PORT=FROM-TO, cover each layer once and in order. */
function coversLayersInOrder(stages: string): boolean {
    let next = 0;
    for (const stage of stages.split(",")) {
        const [from, to] = stage.split("=")[1]!.split("-").map(Number);
        if (from !== next || to! <= from) {
            return false;
        }
        next = to!;
    }
    return next === modelLayers;
}
