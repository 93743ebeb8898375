import { countNames } from "../countNames.ts";
import type { FaultTimeline } from "../faultTimeline.ts";
import type { Violations } from "../violations.ts";
import { callKinds } from "./callKind.ts";
import type { CallRecord } from "./callRecord.ts";
import { endpointLimitKind } from "./endpointLimitKind.ts";
import { eventsOfStream } from "./eventsOfStream.ts";
import { harmfulBody } from "./harmfulBody.ts";
import type { RouterDeployment } from "./routerDeployment.ts";

/** Options of {@link CallChecks}. */
interface CallChecksOptions {
    deployment: RouterDeployment;
    timeline: FaultTimeline;
    violations: Violations;
}

/** A run of a request at an endpoint. */
type Run = ReturnType<RouterDeployment["endpoints"][number]["getRuns"]>[number];

/** Statuses that promise that a request has not run and never will. */
const notRunStatuses = [408, 421, 429, 503];
/** Statuses that say that a request is wrong; those of the soak never are. */
const wrongStatuses = [400, 401, 403, 404, 405, 413, 431];
/** The most that one request's route allows. */
const maximumAttempts = 2;
const timeoutMilliseconds = 3_000;
/** Above the half second of the rule by what a busy machine adds. */
const lateMilliseconds = 1_500;
const drainMilliseconds = 2_000;
const drainSlackMilliseconds = 500;
/** Planned work at nodes, which cuts nothing off. */
const plannedKinds = ["nodeStop", "nodeReload"];
/** After a fault, promises with a time bound hold again after this time. */
const settleMilliseconds = 4_000;
/** A request that came to an endpoint so long after its caller had left was sent on after it; the rule's half second, and the way. */
const leftMilliseconds = 700;
const mostSentAfterLeaving = 3;
/** An endpoint's limit counts over so long, for one and a half times what it allows and a few requests more. */
const limitMilliseconds = 4_000;
const mostOfLimit = 1.5 * endpointLimitKind.requestsPerSecond * limitMilliseconds / 1_000 + 5;
const modelLayers = 8;
/** After a request has ended so many endpoints, it may be sent on so often. */
const mostEnded = 3;
const mostLateSendings = 3;

/** Checks the promises from what callers and endpoints have seen. */
export class CallChecks {
    private readonly options: CallChecksOptions;
    private readonly records = new Map<string, CallRecord>();

    private constructor(options: CallChecksOptions) {
        this.options = options;
    }

    /** Creates checks that have seen nothing. */
    static create(options: CallChecksOptions): CallChecks {
        return new CallChecks(options);
    }

    /** Checks a request that has ended, as far as its caller can tell. */
    checkAnswer(record: CallRecord): void {
        this.records.set(record.id, record);
        const { status, isComplete, signature, kind } = record;
        if (status === 200) {
            this.checkSuccess(record);
        }
        else if (signature !== undefined && status !== 500) {
            this.add("statusChanged", `A signed answer has status ${status}.`, record);
        }
        else if (wrongStatuses.includes(status)) {
            this.add("denied", `A proper request of kind ${kind} got ${status}: ${record.text}`, record);
        }
        const took = record.endedAt - record.sentAt;
        const isHeld = took > timeoutMilliseconds + lateMilliseconds;
        if (record.leftAt === undefined && isHeld && (!isComplete || status !== 200) && !this.hasNodeFault(record)) {
            this.add("held", `A request of kind ${kind} was held for ${took} ms and got ${status}.`, record);
        }
    }

    /** Checks at the end what endpoints have run. */
    checkRuns(): void {
        const runs = this.options.deployment.endpoints.flatMap(endpoint => endpoint.getRuns());
        for (const run of runs) {
            this.checkRun(run);
        }
        this.checkLeft(runs);
        this.checkLimits(runs);
        const harmful = runs.filter(({ body }) => body === harmfulBody);
        for (const ofOne of Map.groupBy(harmful, ({ url }) => url).values()) {
            this.checkHarmful(ofOne);
        }
        const byRequest = Map.groupBy(runs, ({ id }) => id);
        for (const record of this.records.values()) {
            this.checkCounts(record, byRequest.get(record.id) ?? []);
        }
    }

    /** Describes the requests without a whole success whose ids begin so. */
    listFailed(name: string): string[] {
        const failed = [...this.records.values()].filter(({ id, status, isComplete }) =>
            id.startsWith(name) && (status !== 200 || !isComplete)
        );
        return failed.map(({ id, node, status, reason }) => `${id} at ${node}: ${status} ${reason}`);
    }

    /** Gets the requests by outcome. */
    getCounts(): Record<string, number> {
        const records = [...this.records.values()];
        return countNames(
            records.map(({ kind, status, isComplete }) => `${kind}/${status}${isComplete ? "" : " cut"}`),
        );
    }

    private checkSuccess(record: CallRecord): void {
        if (record.signature === undefined) {
            this.add("unsigned", "A success bears no endpoint's signature.", record);
            return;
        }
        const endpointId = record.signature.replace("seal-", "");
        if (record.kind === callKinds.safe || record.kind === callKinds.unsafe) {
            if (record.isComplete && record.text !== `answer of ${endpointId}`) {
                this.add("mixedUp", `The body is "${record.text}".`, record);
            }
            return;
        }
        const ids = [...record.text.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));
        const isInOrder = ids.every((id, index) => id === index + 1);
        if (!isInOrder || record.isComplete && ids.length !== eventsOfStream) {
            this.add("events", `The events are ${ids.join(" ")}.`, record);
        }
    }

    private checkRun(run: Run): void {
        const record = this.records.get(run.id);
        if (record === undefined) {
            this.addRun("unasked", "Nobody sent this request.", run);
            return;
        }
        const isChanged = run.method !== record.method || run.url !== record.path || run.body !== record.body;
        if (isChanged || run.headers["tenant"] !== "first" || run.headers.authorization !== undefined) {
            this.addRun("changed", `It came as ${run.method} ${run.url} of ${run.headers["tenant"]}.`, run, record);
        }
        const stages = run.headers["hop-count"];
        if (typeof stages === "string" && !isTiling(stages)) {
            this.addRun("layers", `Its chain is ${stages}.`, run, record);
        }
        this.checkLeaving(run, record);
    }

    /** Checks that a request is hardly sent on any more, by whatever node, once it has ended several endpoints. */
    private checkHarmful(runs: readonly Run[]): void {
        const byEndpoint = [...Map.groupBy(runs, ({ endpointId }) => endpointId).values()];
        const firstRuns = byEndpoint.map(ofEndpoint => ofEndpoint[0]!);
        const last = firstRuns.sort((left, right) => left.arrivedAt - right.arrivedAt)[mostEnded - 1];
        const late = runs.filter(({ id, arrivedAt }) => {
            const node = this.records.get(id)?.node ?? "";
            const settledAt = arrivedAt - settleMilliseconds;
            return last !== undefined && settledAt > last.arrivedAt
                && !this.hasFault(["node", "store"], settledAt, arrivedAt, node);
        });
        if (late.length > mostLateSendings) {
            this.addRun(
                "harmful",
                `It was sent on ${late.length} times after ${mostEnded} endpoints ended.`,
                late.at(-1)!,
            );
        }
    }

    /** Checks that hardly a request came to an endpoint after its caller had left. */
    private checkLeft(runs: readonly Run[]): void {
        const late = runs.filter(({ id, arrivedAt, endpointId }) => {
            const { leftAt, node = "" } = this.records.get(id) ?? {};
            return leftAt !== undefined && arrivedAt > leftAt + leftMilliseconds
                && !this.hasFault(["node"], leftAt - settleMilliseconds, arrivedAt, node)
                && !this.hasEndpointFault(endpointId, leftAt, arrivedAt);
        });
        if (late.length > mostSentAfterLeaving) {
            this.addRun("gone", `It is one of ${late.length} that came after their callers had left.`, late.at(-1)!);
        }
    }

    /** Checks that endpoints that limit what they take get no more, from nodes at which nothing was out of order. */
    private checkLimits(runs: readonly Run[]): void {
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
                    arrivedAt >= run.arrivedAt && arrivedAt < run.arrivedAt + limitMilliseconds
                );
                if (window.length > mostOfLimit) {
                    const text = `It is the first of ${window.length} in ${limitMilliseconds} ms at a limit.`;
                    this.addRun("limit", text, run);
                    break;
                }
            }
        }
    }

    private checkLeaving(run: Run, record: CallRecord): void {
        for (const endpoint of this.options.deployment.endpoints) {
            const since = endpoint.getLeavingSince(run.endpointId);
            if (since === undefined || run.arrivedAt <= since + drainMilliseconds + drainSlackMilliseconds) {
                continue;
            }
            if (!this.hasFault(["node", "store"], since - settleMilliseconds, run.arrivedAt, record.node)) {
                this.addRun(
                    "drain",
                    `It came ${run.arrivedAt - since} ms after the endpoint said it leaves.`,
                    run,
                    record,
                );
            }
        }
    }

    private checkCounts(record: CallRecord, runs: readonly Run[]): void {
        const { kind, status, isComplete, endedAt } = record;
        const isOnce = kind === callKinds.unsafe || kind === callKinds.once;
        if (isOnce && runs.length > 1) {
            this.add("twice", `It ran ${runs.length} times.`, record);
        }
        if (isOnce && runs.length > 0 && notRunStatuses.includes(status)) {
            this.add("refused", `It got ${status} and ran at ${runs[0]!.endpointId}.`, record);
        }
        // Endpoints that have ended don't count.
        if (runs.length > maximumAttempts && record.body !== harmfulBody) {
            this.add("attempts", `It ran ${runs.length} times.`, record);
        }
        // A connection that ends while nothing of the request was passed on has crossed its closing.
        const isCut = !isComplete && runs.length > 0 && record.leftAt === undefined;
        if (isCut && this.hasPlannedStopsOnly(record) && endedAt - record.sentAt < timeoutMilliseconds) {
            this.add("lost", `It was cut off: ${record.reason}`, record);
        }
    }

    /** Whether nothing was out of order but that nodes were stopped, or read their settings again, as planned. */
    private hasPlannedStopsOnly({ sentAt, endedAt }: CallRecord): boolean {
        const shown = this.options.timeline.getDuring(sentAt - settleMilliseconds, endedAt);
        return shown.every(({ kind }) => plannedKinds.includes(kind));
    }

    private hasNodeFault({ node, sentAt, endedAt }: CallRecord): boolean {
        return this.hasFault(["node"], sentAt - settleMilliseconds, endedAt, node);
    }

    private hasEndpointFault(endpointId: string, from: number, to: number): boolean {
        const shown = this.options.timeline.getDuring(from, to);
        return shown.some(({ kind, target }) => kind.startsWith("endpoint") && endpointId.startsWith(`${target}-`));
    }

    /** Whether a fault at a node, or at all of a kind, was shown in a span; kinds by their first letters. */
    private hasFault(prefixes: readonly string[], from: number, to: number, node: string): boolean {
        return this.options.timeline.getDuring(from, to).some(({ kind, target }) =>
            prefixes.some(prefix => kind.startsWith(prefix)) && (target === node || target === "store")
        );
    }

    private addRun(kind: string, text: string, { id, endpointId, arrivedAt }: Run, record?: CallRecord): void {
        const message = `${id} at ${endpointId}: ${text}`;
        const names = record && [record.node];
        this.options.violations.add({ kind, message, from: arrivedAt, to: arrivedAt, names });
    }

    private add(kind: string, text: string, { id, node, sentAt, endedAt }: CallRecord): void {
        const message = `${id} at ${node}: ${text}`;
        this.options.violations.add({ kind, message, from: sentAt, to: endedAt, names: [node] });
    }
}

/** Whether the stages of a chain, as HOST:PORT=FROM-TO, hold each layer once and in order. */
function isTiling(stages: string): boolean {
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
