import { PathState } from "../../../connection/upstream/path/pathState.ts";
import type { UpstreamFailure } from "../../../connection/upstream/upstreamFailure.ts";
import { UpstreamFailureKind } from "../../../connection/upstream/upstreamFailureKind.ts";
import type { AnswerHead } from "../answers/answerHead.ts";
import type { RelayChains } from "../chains/relayChains.ts";
import { noteRefusal } from "../detection/noteRefusal.ts";
import type { RegisteredEndpoint } from "../endpoints/registeredEndpoint.ts";
import type { RelayEnvironment } from "../relayEnvironment.ts";
import type { RelayTask } from "../relayTask.ts";
import type { RequestGuard } from "../requestGuard.ts";
import { brokenOffCause } from "./brokenOffCause.ts";
import { describeIncompleteAnswer } from "./describeIncompleteAnswer.ts";
import { getFaultyEndpoint } from "./getFaultyEndpoint.ts";
import { sendStream } from "./sendStream.ts";
import type { StreamAnswerEnd } from "./streamAnswerEnd.ts";
import type { StreamAttempt } from "./streamAttempt.ts";
import type { StreamAttemptEnd } from "./streamAttemptEnd.ts";
import type { StreamEvent } from "./streamEvent.ts";

/** Options of an {@link AttemptSender}. */
interface AttemptSenderOptions {
    environment: RelayEnvironment;
    task: RelayTask;
    chains: RelayChains;
    guard: RequestGuard;
    /** Gets the id of the last event that the caller has; 0 if none. */
    getLastEventId(): number;
    /** Checks if a part of the answer was written to the caller. */
    isAnswerBegun(): boolean;
    /** Checks if an attempt is in progress. Nothing is reported of any other. */
    isRunning(attempt: StreamAttempt): boolean;
    /** Checks if an attempt is the only one in progress. */
    isOnly(attempt: StreamAttempt): boolean;
    /** Called with each event of a successful answer, in order. */
    onEvent(attempt: StreamAttempt, event: StreamEvent, head: AnswerHead): void;
    /** Called when an answer is complete. */
    onComplete(attempt: StreamAttempt, head: AnswerHead): void;
    /** Called with the id of an endpoint that has refused the request, before {@link onEnded}. */
    onRefused(endpointId: string): void;
    /** Called when an attempt has ended without a complete answer, also if it was given up while the path of its connection was tested. */
    onEnded(attempt: StreamAttempt, end: StreamAttemptEnd): void;
}

/** Sends the attempts of a streamed request, and finds out from what comes back how each of them ends. */
export class AttemptSender {
    private readonly options: AttemptSenderOptions;

    private constructor(options: AttemptSenderOptions) {
        this.options = options;
    }

    /** Creates the sender of a request. */
    static create(options: AttemptSenderOptions): AttemptSender {
        return new AttemptSender(options);
    }

    /** Sends the request to the first stage of an attempt. */
    send(attempt: StreamAttempt): void {
        const { environment, task, guard, getLastEventId, isAnswerBegun, isOnly, onEvent } = this.options;
        attempt.exchange = sendStream({
            environment,
            task,
            stages: attempt.stages,
            guard,
            getLastEventId,
            isAnswerBegun,
            // An endpoint that crashes before its first event may end its connection as regularly as one that has nothing left to send.
            mayBeEmpty: () => getLastEventId() > 0 && isOnly(attempt),
            onEvent: (event, head) => {
                if (this.options.isRunning(attempt)) {
                    onEvent(attempt, event, head);
                }
            },
            onEnd: end => this.handleEnd(attempt, end),
            onFailure: failure => this.handleFailure(attempt, failure),
        });
    }

    private handleEnd(attempt: StreamAttempt, end: StreamAnswerEnd): void {
        const { environment, isRunning, onComplete, onEnded, onRefused } = this.options;
        if (!isRunning(attempt)) {
            return;
        }
        if (end.kind === "whole") {
            onComplete(attempt, end.head);
            return;
        }
        if (end.kind === "cut" && end.isConnectionClosed) {
            this.handleBreak(attempt, brokenOffCause);
            return;
        }
        const { id } = attempt.stages[0]!.endpoint;
        const now = environment.clock.getMonotonicTime();
        if (end.kind === "foreign" || end.kind === "oversized" || end.kind === "invalid") {
            attempt.exchange?.abort();
            environment.health.markRejecting(id, now);
        }
        const attemptEnd = describeIncompleteAnswer(end, id);
        if (end.kind !== "refused") {
            onEnded(attempt, attemptEnd);
            return;
        }
        const refusing = getFaultyEndpoint(attempt.stages, end.head.faultyAddress);
        onRefused(refusing.id);
        onEnded(attempt, { ...attemptEnd, avoid: this.noteRefusal(refusing, end.head.status) });
    }

    private noteRefusal(endpoint: RegisteredEndpoint, status: number): string[] {
        const { environment, task, chains } = this.options;
        const memoryPart = chains.getUsedMemoryFraction(endpoint);
        return noteRefusal({ environment, requestId: task.request.id, endpoint, status, memoryPart });
    }

    private handleFailure(attempt: StreamAttempt, failure: UpstreamFailure): void {
        const { environment, isRunning, onEnded } = this.options;
        if (!isRunning(attempt)) {
            return;
        }
        const { id } = attempt.stages[0]!.endpoint;
        const now = environment.clock.getMonotonicTime();
        if (failure.kind === UpstreamFailureKind.Withheld) {
            const cause = "the first stage asked for no more requests before this one was written.";
            onEnded(attempt, { isNotRun: true, isUnsent: true, cause, avoid: [] });
            return;
        }
        if (failure.kind === UpstreamFailureKind.Invalid) {
            environment.health.markRejecting(id, now);
            const cause = `the first stage sent no valid answer (${failure.message}).`;
            onEnded(attempt, { isNotRun: false, cause, avoid: [id] });
            return;
        }
        const cause = `the connection to the first stage failed (${failure.message}).`;
        if (failure.kind === UpstreamFailureKind.NotSent) {
            environment.health.markUnavailable(id, now);
            onEnded(attempt, { isNotRun: true, isUnsent: true, cause, avoid: [id] });
            return;
        }
        this.handleBreak(attempt, cause);
    }

    /** Finds out whether the endpoint can still be reached whose connection broke, and ends the attempt. */
    private handleBreak(attempt: StreamAttempt, cause: string): void {
        const { environment, guard } = this.options;
        const brokenAt = environment.clock.getMonotonicTime();
        attempt.run.isBroken = true;
        attempt.exchange?.testPath(state => guard.run(() => this.endBroken(attempt, state, brokenAt, cause)));
    }

    private endBroken(attempt: StreamAttempt, state: PathState, brokenAt: number, cause: string): void {
        const { id } = attempt.stages[0]!.endpoint;
        const isDown = state === PathState.Down;
        if (isDown) {
            this.options.environment.health.markUnreachable(id);
        }
        const avoid = state === PathState.Lost ? [] : [id];
        this.options.onEnded(attempt, { isNotRun: false, brokenAt, isDown, cause, avoid });
    }
}
