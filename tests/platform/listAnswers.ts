/** An answer as it stands in the text that a connection received. */
interface ReceivedAnswer {
    id: string;
    status: string;
}

/** Lists the complete answers in a text, in order. */
export function listAnswers(text: string): ReceivedAnswer[] {
    const answers: ReceivedAnswer[] = [];
    for (let rest = text;;) {
        const headEnd = rest.indexOf("\r\n\r\n") + 4;
        const head = rest.slice(0, headEnd);
        const length = /\r\ncontent-length: (\d+)/i.exec(head)?.[1];
        const end = length === undefined ? rest.indexOf("\r\n0\r\n\r\n", headEnd - 2) + 7 : headEnd + Number(length);
        if (headEnd < 4 || end < headEnd || end > rest.length) {
            return answers;
        }
        answers.push({ id: /\r\nrequest-id: (\S+)/i.exec(head)?.[1] ?? "", status: head.slice(9, 12) });
        rest = rest.slice(end);
    }
}
