import { countNames } from "../countNames.ts";
import type { FaultTimeline } from "../faultTimeline.ts";
import type { Violations } from "../violations.ts";
import { callKinds } from "./callKind.ts";
import type { CallRecord } from "./callRecord.ts";
import { checkRanks } from "./checkRanks.ts";
import { endpointLimitKind } from "./endpointLimitKind.ts";
import { eventsPerStream } from "./eventsPerStream.ts";
import { findArrivalsAfterLeaving } from "./findArrivalsAfterLeaving.ts";
import { findArrivalsInPauses } from "./findArrivalsInPauses.ts";
import { harmfulBody } from "./harmfulBody.ts";
import type { RouterDeployment } from "./routerDeployment.ts";
import { startAtDeletionKind } from "./startAtDeletionKind.ts";

/** Options of {@link CallChecks}. */
interface CallChecksOptions {
    deployment: RouterDeployment;
    timeline: FaultTimeline;
    violations: Violations;
}

/** An execution of a request by an endpoint. */
type Run = ReturnType<RouterDeployment["endpoints"][number]["getRuns"]>[number];

/** Statuses that guarantee that a request has not run and never will. */
const notRunStatuses = [408, 421, 429, 503];
/** Statuses that reject a request as invalid or unauthorized; all requests of the soak test are valid. */
const rejectionStatuses = [400, 401, 403, 404, 405, 413, 431];
/** Maximum of attempts that the routes allow. */
const maximumAttempts = 2;
const timeoutMilliseconds = 3_000;
/** Tolerance for late responses: the permitted 500 ms plus scheduling delays of a busy machine. */
const responseToleranceMilliseconds = 1_500;
const drainMilliseconds = 2_000;
const drainSlackMilliseconds = 500;
/** Planned operations at nodes and bursts of requests, which must not interrupt requests. */
const plannedOperations = ["nodeStop", "nodeStopInBurst", "nodeReload", "burst"];
/** Time after a fault from which invariants with a time limit hold again. */
const settleMilliseconds = 4_000;
/** Time after a caller's disconnect from which no request may arrive at an endpoint: the permitted 500 ms plus transit. */
const disconnectToleranceMilliseconds = 700;
const maximumForwardedAfterDisconnect = 3;
/** Time window in which the rate limit of an endpoint is checked; the check tolerates 1.5 times the limit plus 5 requests. */
const limitWindowMilliseconds = 4_000;
const maximumRequestsPerWindow = 1.5 * endpointLimitKind.requestsPerSecond * limitWindowMilliseconds / 1_000 + 5;
const modelLayers = 8;
/** Number of crashed endpoints after which a request must no longer be forwarded. */
const maximumCrashes = 3;
/** Forwardings of such a request that are tolerated. */
const maximumRunsAfterCrashes = 3;

/** Checks the invariants against the records of callers and endpoints. */
export class CallChecks {
    private readonly options: CallChecksOptions;
    private readonly records = new Map<string, CallRecord>();

    private constructor(options: CallChecksOptions) {
        this.options = options;
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
            this.add("statusChanged", `A signed response has status ${status}.`, record);
        }
        else if (rejectionStatuses.includes(status)) {
            this.add("denied", `A valid request of kind ${kind} was rejected with ${status}: ${record.text}`, record);
        }
        const durationMilliseconds = record.endedAt - record.sentAt;
        const isOverdue = durationMilliseconds > timeoutMilliseconds + responseToleranceMilliseconds;
        if (record.leftAt === undefined && isOverdue && (!isComplete || status !== 200) && !this.hasNodeFault(record)) {
            this.add(
                "held",
                `A request of kind ${kind} took ${durationMilliseconds} ms and ended with status ${status}.`,
                record,
            );
        }
    }

    /** Checks the runs of all endpoints at the end. */
    checkRuns(): void {
        const runs = this.options.deployment.endpoints.flatMap(endpoint => endpoint.getRuns());
        for (const run of runs) {
            this.checkRun(run);
        }
        this.checkDisconnects(runs);
        this.checkRateLimits(runs);
        this.checkInstructions();
        const harmful = runs.filter(({ body }) => body === harmfulBody);
        for (const runsOfRequest of Map.groupBy(harmful, ({ url }) => url).values()) {
            this.checkHarmful(runsOfRequest);
        }
        const byRequest = Map.groupBy(runs, ({ id }) => id);
        for (const record of this.records.values()) {
            this.checkRunCounts(record, byRequest.get(record.id) ?? []);
        }
        const sound = [...this.records.values()].filter(record => !this.hasNodeFault(record));
        checkRanks(sound, id => byRequest.has(id), this.options.violations);
    }

    /** Describes the requests whose ids start with a prefix and that have no complete successful response. */
    listFailed(idPrefix: string): string[] {
        const failed = [...this.records.values()].filter(({ id, status, isComplete }) =>
            id.startsWith(idPrefix) && (status !== 200 || !isComplete)
        );
        return failed.map(({ id, node, status, reason }) => `${id} at ${node}: ${status} ${reason}`);
    }

    /** Counts the requests by kind and outcome. */
    getCounts(): Record<string, number> {
        const records = [...this.records.values()];
        return countNames(
            records.map(({ kind, status, isComplete }) => `${kind}/${status}${isComplete ? "" : " cut"}`),
        );
    }

    private checkSuccess(record: CallRecord): void {
        if (record.signature === undefined) {
            this.add("unsigned", "A successful response has no endpoint signature.", record);
            return;
        }
        const endpointId = record.signature.replace("seal-", "");
        if (record.kind === callKinds.safe || record.kind === callKinds.unsafe) {
            if (record.isComplete && record.text !== `answer of ${endpointId}`) {
                this.add(
                    "mixedUp",
                    `The response body belongs to another request or endpoint: "${record.text}".`,
                    record,
                );
            }
            return;
        }
        const ids = [...record.text.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));
        const isInOrder = ids.every((id, index) => id === index + 1);
        if (!isInOrder || record.isComplete && ids.length !== eventsPerStream) {
            this.add("events", `Events are missing, repeated or out of order: ${ids.join(" ")}.`, record);
        }
    }

    private checkRun(run: Run): void {
        const record = this.records.get(run.id);
        if (record === undefined) {
            this.addForRun("unasked", "No caller sent this request.", run);
            return;
        }
        const isChanged = run.method !== record.method || run.url !== record.path || run.body !== record.body;
        if (isChanged || run.headers["tenant"] !== record.customer || run.headers.authorization !== undefined) {
            this.addForRun(
                "changed",
                `It arrived as ${run.method} ${run.url} of tenant ${run.headers["tenant"]}.`,
                run,
                record,
            );
        }
        const stages = run.headers["hop-count"];
        if (typeof stages === "string" && !coversLayersInOrder(stages)) {
            this.addForRun("layers", `Its chain is ${stages}.`, run, record);
        }
        this.checkDraining(run, record);
    }

    /** Checks that nodes stop forwarding a request once it has crashed several endpoints. */
    private checkHarmful(runs: readonly Run[]): void {
        const byEndpoint = [...Map.groupBy(runs, ({ endpointId }) => endpointId).values()];
        const firstRuns = byEndpoint.map(runsOfEndpoint => runsOfEndpoint[0]!);
        const last = firstRuns.sort((left, right) => left.arrivedAt - right.arrivedAt)[maximumCrashes - 1];
        const late = runs.filter(({ id, arrivedAt }) => {
            const node = this.records.get(id)?.node ?? "";
            const settledAt = arrivedAt - settleMilliseconds;
            return last !== undefined && settledAt > last.arrivedAt
                && !this.hasFault(["node", "store"], settledAt, arrivedAt, node);
        });
        if (late.length > maximumRunsAfterCrashes) {
            this.addForRun(
                "harmful",
                `It was forwarded ${late.length} times after ${maximumCrashes} endpoints crashed.`,
                late.at(-1)!,
            );
        }
    }

    /** Checks that nodes rarely forward requests whose callers have disconnected. */
    private checkDisconnects(runs: readonly Run[]): void {
        const late = runs.filter(({ id, arrivedAt, endpointId }) => {
            const { leftAt, node = "" } = this.records.get(id) ?? {};
            return leftAt !== undefined && arrivedAt > leftAt + disconnectToleranceMilliseconds
                && !this.hasFault(["node"], leftAt - settleMilliseconds, arrivedAt, node)
                && !this.hasEndpointFault(endpointId, leftAt, arrivedAt);
        });
        if (late.length > maximumForwardedAfterDisconnect) {
            this.addForRun(
                "gone",
                `It is one of ${late.length} requests that arrived after their callers had disconnected.`,
                late.at(-1)!,
            );
        }
    }

    /** Checks that rate-limited endpoints receive no more requests than allowed from nodes without faults. */
    private checkRateLimits(runs: readonly Run[]): void {
        for (const { kind, target, from, to } of this.options.timeline.getDuring(0, Infinity)) {
            if (kind !== endpointLimitKind.name) {
                continue;
            }
            const counted = runs.filter(({ id, endpointId, arrivedAt }) =>
                endpointId.startsWith(`${target}-`) && arrivedAt >= from + settleMilliseconds && arrivedAt <= to
                && !this.hasFault(["node"], arrivedAt - settleMilliseconds, arrivedAt, this.records.get(id)?.node ?? "")
            );
            for (const run of counted) {
                const window = counted.filter(({ arrivedAt }) =>
                    arrivedAt >= run.arrivedAt && arrivedAt < run.arrivedAt + limitWindowMilliseconds
                );
                if (window.length > maximumRequestsPerWindow) {
                    const text =
                        `It is the first of ${window.length} requests in ${limitWindowMilliseconds} ms at a rate-limited endpoint.`;
                    this.addForRun("limit", text, run);
                    break;
                }
            }
        }
    }

    /** Checks that nodes without faults heed the pauses and the announced leaving of endpoints, also while the store is faulty. */
    private checkInstructions(): void {
        const getSentTime = (requestId: string) => this.records.get(requestId)?.sentAt ?? -Infinity;
        for (const { endpointId, arrivals } of this.options.deployment.endpoints.flatMap(each => each.getArrivals())) {
            const byNode = Map.groupBy(arrivals, ({ requestId }) => this.records.get(requestId)?.node);
            for (const [node, ofNode] of byNode) {
                const unwanted = [...findArrivalsInPauses(ofNode), ...findArrivalsAfterLeaving(ofNode, getSentTime)];
                for (const { requestId, askedAt, arrivedAt, text } of unwanted) {
                    if (node !== undefined && !this.hasFault(["node"], askedAt - settleMilliseconds, arrivedAt, node)) {
                        this.addForRun("instruction", text, { id: requestId, endpointId, arrivedAt });
                    }
                }
            }
        }
    }

    /** Checks that an endpoint receives no request after its drain period, counted from its draining or the end of its record. */
    private checkDraining(run: Run, record: CallRecord): void {
        for (const endpoint of this.options.deployment.endpoints) {
            const since = endpoint.getLeavingSince(run.endpointId) ?? endpoint.getDeletedAt(run.endpointId);
            if (since === undefined || run.arrivedAt <= since + drainMilliseconds + drainSlackMilliseconds) {
                continue;
            }
            if (
                !this.hasFault(["node", "store"], since - settleMilliseconds, run.arrivedAt, record.node, [
                    startAtDeletionKind,
                ])
            ) {
                this.addForRun(
                    "drain",
                    `It arrived ${
                        run.arrivedAt - since
                    } ms after the endpoint started draining or its record was deleted.`,
                    run,
                    record,
                );
            }
        }
    }

    private checkRunCounts(record: CallRecord, runs: readonly Run[]): void {
        const { kind, status, isComplete, endedAt } = record;
        const isOnce = kind === callKinds.unsafe || kind === callKinds.once;
        if (isOnce && runs.length > 1) {
            this.add("twice", `It ran ${runs.length} times.`, record);
        }
        if (isOnce && runs.length > 0 && notRunStatuses.includes(status)) {
            this.add("refused", `It was refused with ${status} but ran at ${runs[0]!.endpointId}.`, record);
        }
        // Attempts at endpoints that crashed don't count towards the limit, so harmful requests are excluded.
        if (runs.length > maximumAttempts && record.body !== harmfulBody) {
            this.add("attempts", `It ran ${runs.length} times.`, record);
        }
        // A request without a run may have been sent just as the node closed the idle connection.
        const isCut = !isComplete && runs.length > 0 && record.leftAt === undefined;
        if (isCut && this.hasOnlyPlannedOperations(record) && endedAt - record.sentAt < timeoutMilliseconds) {
            this.add("lost", `It was interrupted: ${record.reason}`, record);
        }
    }

    /** Gets if no faults other than planned stops and reloads of nodes overlap the request. */
    private hasOnlyPlannedOperations({ sentAt, endedAt }: CallRecord): boolean {
        const faults = this.options.timeline.getDuring(sentAt - settleMilliseconds, endedAt);
        return faults.every(({ kind }) => plannedOperations.includes(kind));
    }

    private hasNodeFault({ node, sentAt, endedAt }: CallRecord): boolean {
        return this.hasFault(["node"], sentAt - settleMilliseconds, endedAt, node);
    }

    private hasEndpointFault(endpointId: string, from: number, to: number): boolean {
        const faults = this.options.timeline.getDuring(from, to);
        return faults.some(({ kind, target }) => kind.startsWith("endpoint") && endpointId.startsWith(`${target}-`));
    }

    /** Gets if a fault of the node or the store, whose kind starts with one of the prefixes, overlaps a time span. */
    private hasFault(
        prefixes: readonly string[],
        from: number,
        to: number,
        node: string,
        ignoredKinds: readonly string[] = [],
    ): boolean {
        return this.options.timeline.getDuring(from, to).some(({ kind, target }) =>
            !ignoredKinds.includes(kind) && prefixes.some(prefix => kind.startsWith(prefix))
            && (target === node || target === "store")
        );
    }

    private addForRun(
        kind: string,
        text: string,
        { id, endpointId, arrivedAt }: Pick<Run, "id" | "endpointId" | "arrivedAt">,
        record?: CallRecord,
    ): void {
        const message = `${id} at ${endpointId}: ${text}`;
        const names = record && [record.node];
        this.options.violations.add({ kind, message, from: arrivedAt, to: arrivedAt, names });
    }

    private add(kind: string, text: string, { id, node, sentAt, endedAt }: CallRecord): void {
        const message = `${id} at ${node}: ${text}`;
        this.options.violations.add({ kind, message, from: sentAt, to: endedAt, names: [node] });
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
