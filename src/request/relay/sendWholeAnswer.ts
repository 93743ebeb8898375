import type { AnswerSink } from "./answerSink.ts";
import type { WholeAnswer } from "./wholeAnswer.ts";

/** Passes an endpoint's whole answer on to the caller. */
export function sendWholeAnswer(sink: AnswerSink, { head, body }: WholeAnswer): void {
    sink.writeHead(head);
    if (body.length > 0) {
        sink.write(body);
    }
    sink.end();
}
