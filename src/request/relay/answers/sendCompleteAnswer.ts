import type { AnswerSink } from "./answerSink.ts";
import type { CompleteAnswer } from "./completeAnswer.ts";

/** Forwards an endpoint's complete answer to the caller. */
export function sendCompleteAnswer(sink: AnswerSink, { head, body }: CompleteAnswer): void {
    sink.writeHead(head, true);
    if (body.length > 0) {
        sink.write(body);
    }
    sink.end();
}
