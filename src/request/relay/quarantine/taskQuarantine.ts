import { events } from "../../../process/logging/events.ts";
import type { RelayEnvironment } from "../relayEnvironment.ts";
import type { RelayTask } from "../relayTask.ts";
import { proofMilliseconds } from "./proofMilliseconds.ts";
import type { RequestHold } from "./requestHold.ts";

/** If a connection breaks sooner than this after sending, the endpoint may have crashed before the request arrived. */
const minimumRunMilliseconds = 10;
/** An endpoint that has answered for longer than this did not crash under a part of the prompt, which it does as it begins to answer. */
const youngAnswerMilliseconds = 100;

/** What is known of an attempt whose connection broke. */
interface BrokenAttempt {
    /** Monotonic time in milliseconds of the first event of the answer; undefined if there was none. */
    firstEventAt?: number | undefined;
    /** Whether it is proven that no node can connect to the endpoint any more, see `PathState.Down`. */
    isDown?: boolean | undefined;
}

/** A run that ended as its connection broke. */
interface BrokenRun {
    endpointId: string;
    /** Monotonic time in milliseconds at which the connection broke. */
    at: number;
    /** Time from sending the request until then. */
    runMilliseconds: number;
    /** Time from the first event until then; 0 if there was none. */
    answerMilliseconds: number;
    /** Keys of the parts for which the request was a canary then, whatever it is once the crash is proven. */
    canaryKeys: readonly string[];
}

/** Connects a forwarded request to the {@link RequestQuarantine} of the node. */
export class TaskQuarantine {
    private readonly environment: RelayEnvironment;
    private readonly task: RelayTask;
    private isSafe = false;
    /** Whether an endpoint has crashed after it had run the request for a while. */
    private hasCrashedLate = false;
    /** Whether an endpoint has answered for long enough to show that the parts of the prompt were harmless then. */
    private hasAnswered = false;
    /** Keys of the parts for which the request is a canary, and the time until which it may be sent as one. */
    private canaryKeys: readonly string[] = [];
    private canaryUntil = -Infinity;

    private constructor(environment: RelayEnvironment, task: RelayTask) {
        this.environment = environment;
        this.task = task;
    }

    /** Creates the connection for a request that was not forwarded yet. */
    static create(environment: RelayEnvironment, task: RelayTask): TaskQuarantine {
        return new TaskQuarantine(environment, task);
    }

    /** Checks if the request is held back, without a log line and without making it a canary. */
    isHeld(): boolean {
        const { quarantine, clock } = this.environment;
        const { fingerprint, partKeys } = this.task;
        const now = clock.getMonotonicTime();
        const partHold = quarantine.getPartHold(partKeys, now);
        return quarantine.getHold(fingerprint, now) !== undefined
            || partHold !== undefined && (partHold.isCertain || !this.hasAnswered);
    }

    /** Gets why the request is held back; undefined if it may be sent. */
    getHold(): RequestHold | undefined {
        const { quarantine, log, clock } = this.environment;
        const { request, fingerprint } = this.task;
        const now = clock.getMonotonicTime();
        const hold = quarantine.getHold(fingerprint, now) ?? this.getPartHold(now);
        if (hold !== undefined) {
            log.write(events.requestQuarantined, {
                request: request.id,
                fingerprint,
                parts: hold.parts?.join(",") ?? "",
                endpoints: hold.endpointIds.join(","),
                remainingMilliseconds: Math.round(hold.remainingMilliseconds),
            });
        }
        return hold;
    }

    /** Gets for how many milliseconds it may still turn out that the request is held back for endpoints that are alive; 0 if it can't. */
    getDoubt(): number {
        const { quarantine, clock } = this.environment;
        return quarantine.getDoubt(this.task.fingerprint, clock.getMonotonicTime());
    }

    /** Checks if the request is a canary without an answer yet, which only one endpoint may run. */
    isCanary(): boolean {
        return this.canaryKeys.length > 0;
    }

    /**
     * Records that an endpoint has run the request without crashing, so that the request is not the cause of other crashes.
     * @param answeredAt - Monotonic time in milliseconds at which the endpoint began to answer.
     */
    markSafe(answeredAt: number): void {
        if (!this.isSafe) {
            this.isSafe = true;
            this.hasAnswered = true;
            this.canaryKeys = [];
            const { quarantine, clock } = this.environment;
            const { fingerprint, partKeys } = this.task;
            quarantine.markSafe(fingerprint);
            quarantine.markPartsAnswered(partKeys, answeredAt, clock.getMonotonicTime());
        }
    }

    /** Records that the answer is complete. It shows nothing if it was put together of parts from endpoints that crashed. */
    markComplete(): void {
        if (!this.hasCrashedLate) {
            const { quarantine, clock } = this.environment;
            quarantine.lateCrashes.noteCompletion(this.task.fingerprint, clock.getMonotonicTime());
        }
    }

    /**
     * Records that the connection of an attempt broke. The endpoint counts as crashed if no node can connect to it, or once it is known to have
     * restarted or to be down: endpoints also break off single streams and go on with the others. An endpoint that has announced that it is
     * leaving ends as announced, and gets no more requests.
     * @param endpointId - Id of the endpoint that ran the request.
     * @param sentAt - Monotonic time in milliseconds at which the request was sent to it.
     * @param at - Monotonic time in milliseconds at which the connection broke. The test of its path takes longer than
     * {@link minimumRunMilliseconds}, so that with the time after the test no crash would be sudden.
     * @param attempt - What else is known of the attempt.
     */
    noteBreak(endpointId: string, sentAt: number, at: number, attempt: BrokenAttempt = {}): void {
        const { firstEventAt, isDown = false } = attempt;
        const answerMilliseconds = firstEventAt === undefined ? 0 : at - firstEventAt;
        const { canaryKeys } = this;
        const run = { endpointId, at, runMilliseconds: at - sentAt, answerMilliseconds, canaryKeys };
        this.hasAnswered ||= isAnswered(run);
        if (this.environment.instructions.isLeaving(endpointId)) {
            return;
        }
        if (isDown) {
            this.noteCrash(run, true);
            return;
        }
        const { quarantine, log, clock } = this.environment;
        quarantine.addUnprovenBreak({ endpointId, at, onProven: isDownNow => this.noteCrash(run, isDownNow) });
        clock.setTimer(proofMilliseconds, () => quarantine.forgetOldBreaks(clock.getMonotonicTime()));
        log.write(events.connectionBroke, {
            request: this.task.request.id,
            fingerprint: this.task.fingerprint,
            endpoint: endpointId,
            ...describeRun(run),
        });
    }

    /** Records a crash under the request, of which the request or a part of its prompt may be the cause. */
    private noteCrash(run: BrokenRun, isDown: boolean): void {
        const { quarantine } = this.environment;
        const { fingerprint, request, partKeys } = this.task;
        const { endpointId, at, canaryKeys } = run;
        const crash = { fingerprint, endpointId, at, isDown, isSudden: isSudden(run) };
        // A part may become harmful after an endpoint has answered the request.
        const suspectedParts = isAnswered(run) ? [] : partKeys;
        if (this.isSafe) {
            this.hasCrashedLate = true;
            quarantine.noteLateCrash(crash, request.id, describeRun(run));
            if (suspectedParts.length === 0) {
                return;
            }
            // The request stays safe. The next answer clears its parts of this crash.
            quarantine.markSafe(fingerprint);
            this.isSafe = false;
        }
        if (this.canaryKeys === canaryKeys) {
            this.canaryKeys = [];
        }
        quarantine.noteCrash({ ...crash, partKeys: suspectedParts, canaryKeys }, request.id, {
            parts: suspectedParts.join(","),
            canaryOf: canaryKeys.join(","),
            ...describeRun(run),
        });
    }

    /** Gets why the parts of the prompt hold the request back; undefined if it may be sent, if only as a canary. */
    private getPartHold(now: number): RequestHold | undefined {
        const { quarantine, log } = this.environment;
        const hold = quarantine.getPartHold(this.task.partKeys, now);
        if (hold === undefined || hold.isCertain) {
            return hold;
        }
        if (this.hasAnswered || this.canaryKeys.length > 0 && now < this.canaryUntil) {
            return undefined;
        }
        const canaryUntil = quarantine.takeCanary(hold, now);
        if (canaryUntil === undefined) {
            return hold;
        }
        this.canaryKeys = hold.parts;
        this.canaryUntil = canaryUntil;
        log.write(events.canarySent, { request: this.task.request.id, parts: hold.parts.join(",") });
        return undefined;
    }
}

/** Checks if the endpoint had answered for longer than one does that crashes under a part of the prompt. */
function isAnswered({ answerMilliseconds }: BrokenRun): boolean {
    return answerMilliseconds > youngAnswerMilliseconds;
}

/** Checks if the connection broke so soon that the endpoint may have crashed before the request arrived. */
function isSudden({ runMilliseconds }: BrokenRun): boolean {
    return runMilliseconds < minimumRunMilliseconds;
}

/** Gets the details of a run for the log. */
function describeRun(run: BrokenRun) {
    return {
        runMilliseconds: Math.round(run.runMilliseconds),
        answerMilliseconds: Math.round(run.answerMilliseconds),
        isSudden: isSudden(run),
    };
}
