import type { AnswerEnd } from "../answers/answerEnd.ts";
import type { AnswerHead } from "../answers/answerHead.ts";
import type { AnswerSink } from "../answers/answerSink.ts";
import type { CompleteAnswer } from "../answers/completeAnswer.ts";
import { createRefusal } from "../answers/createRefusal.ts";
import type { RelayRefusal } from "../answers/relayRefusal.ts";
import { sendCompleteAnswer } from "../answers/sendCompleteAnswer.ts";

/** The answer to the caller of a streamed request, over all attempts. */
export class StreamAnswer {
    private readonly sink: AnswerSink;
    private hasBegun = false;
    private mayHaveRun = false;
    private failureAnswer: CompleteAnswer | undefined;

    private constructor(sink: AnswerSink) {
        this.sink = sink;
    }

    /** Creates an answer of which nothing was written. */
    static create(sink: AnswerSink): StreamAnswer {
        return new StreamAnswer(sink);
    }

    /** Checks if a part of the answer was written. */
    isBegun(): boolean {
        return this.hasBegun;
    }

    /** Checks if an endpoint may have run the request. */
    hasRun(): boolean {
        return this.mayHaveRun;
    }

    /** Records that an endpoint may have run the request. */
    noteRun(): void {
        this.mayHaveRun = true;
    }

    /** Records a failure of an endpoint, which is forwarded if no later attempt succeeds. */
    noteFailure(failure: CompleteAnswer): void {
        this.failureAnswer = failure;
    }

    /** Forwards an event. */
    write(head: AnswerHead, event: Buffer): void {
        this.begin(head);
        this.sink.write(event);
    }

    /** Ends the answer as complete. */
    complete(head: AnswerHead): AnswerEnd {
        this.begin(head);
        this.sink.end();
        return { outcome: "answered", cause: "" };
    }

    /**
     * Ends the request without a complete answer.
     * @param cause - Why it ends.
     * @param notRun - Refusal for the caller if the request has not run.
     */
    giveUp(cause: string, notRun: RelayRefusal): AnswerEnd {
        if (this.hasBegun) {
            this.sink.abort();
            return { outcome: "cut", cause };
        }
        if (this.failureAnswer !== undefined) {
            sendCompleteAnswer(this.sink, this.failureAnswer);
            return { outcome: "endpointFailed", cause };
        }
        return this.refuse(this.mayHaveRun ? createRefusal.outcomeUnknown(cause) : notRun);
    }

    /**
     * Ends the request because its time is over.
     * @param isSent - Whether an attempt is in progress that may have reached an endpoint.
     */
    timeOut(isSent: boolean): AnswerEnd {
        if (this.hasBegun) {
            this.sink.abort();
            return { outcome: "cutAtTimeout", cause: "" };
        }
        const isNotRun = !this.mayHaveRun && !isSent;
        return this.refuse(
            isNotRun ? createRefusal.notRun("no chain had free capacity in time.") : createRefusal.timedOut(),
        );
    }

    /**
     * Ends the request because this node ends.
     * @param cause - What happened to the request until then.
     * @param isSent - Whether an attempt is in progress that may have reached an endpoint.
     */
    stop(cause: string, isSent: boolean): AnswerEnd {
        if (this.hasBegun) {
            this.sink.abort();
            return { outcome: "cutAtStop", cause };
        }
        this.mayHaveRun ||= isSent;
        return this.giveUp(cause, createRefusal.stopping(cause));
    }

    private begin(head: AnswerHead): void {
        if (!this.hasBegun) {
            this.hasBegun = true;
            this.sink.writeHead(head);
        }
    }

    private refuse(refusal: RelayRefusal): AnswerEnd {
        this.sink.refuse(refusal);
        return { outcome: refusal.reason, cause: refusal.message };
    }
}
