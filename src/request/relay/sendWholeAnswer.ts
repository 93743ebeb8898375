import type { AnswerSink } from "./answerSink.ts";
import type { WholeAnswer } from "./wholeAnswer.ts";

/** Forwards an endpoint's complete answer to the caller. */
export function sendWholeAnswer(sink: AnswerSink, { head, body }: WholeAnswer): void {
    sink.writeHead(head);
    if (body.length > 0) {
        sink.write(body);
    }
    sink.end();
}
