import type { EndlessForm } from "./endlessForm.ts";

const filler = "x".repeat(4_096);
const hex = filler.length.toString(16);
const ended = "response-seal: seal\r\nconnection: keep-alive\r\n";

const createHead = (status: number, requestId: string, fields = "transfer-encoding: chunked\r\n"): string =>
    `HTTP/1.1 ${status} Status\r\nrequest-id: ${requestId}\r\n${ended}${fields}\r\n`;

const createChunk = (data: string): string => `${data.length.toString(16)}\r\n${data}\r\n`;

/** Ways in which bytes come without end that are no answer, by name. */
export const endlessForms = {
    garbage: { createStart: () => "", createNext: () => `${filler}\n` },
    headField: { createStart: () => "HTTP/1.1 200 OK\r\nfield: ", createNext: () => filler },
    headFields: { createStart: () => "HTTP/1.1 200 OK\r\n", createNext: count => `field-${count}: ${filler}\r\n` },
    informational: { createStart: () => "", createNext: () => `HTTP/1.1 102 Processing\r\nfield: ${filler}\r\n\r\n` },
    emptyLines: { createStart: () => "", createNext: () => "\r\n".repeat(2_048) },
    chunkExtension: {
        createStart: id => `${createHead(200, id)}5;extension=`,
        createNext: () => filler,
    },
    trailers: {
        createStart: id => `${createHead(200, id)}0\r\n`,
        createNext: count => `field-${count}: ${filler}\r\n`,
    },
    failure: { createStart: id => createHead(500, id), createNext: () => `${hex}\r\n${filler}\r\n` },
    refusal: {
        createStart: id => createHead(503, id, "not-executed: 1\r\ntransfer-encoding: chunked\r\n"),
        createNext: () => `${hex}\r\n${filler}\r\n`,
    },
    failureWithoutLength: { createStart: id => createHead(502, id, ""), createNext: () => filler },
    anotherRequest: { createStart: () => createHead(200, "another"), createNext: () => `${hex}\r\n${filler}\r\n` },
    event: { createStart: id => createHead(200, id), createNext: () => createChunk(filler) },
    comments: { createStart: id => createHead(200, id), createNext: () => createChunk(`:${filler}\n\n`) },
} as const satisfies Record<string, EndlessForm>;
