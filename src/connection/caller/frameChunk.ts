const hexadecimalRadix = 16;
const lineEnd = "\r\n";

/** Encodes bytes as one chunk of the HTTP/1.1 chunked transfer coding. */
export function frameChunk(bytes: Buffer): Buffer {
    const head = `${bytes.length.toString(hexadecimalRadix)}${lineEnd}`;
    const framed = Buffer.allocUnsafe(head.length + bytes.length + lineEnd.length);
    framed.write(head, 0, "latin1");
    bytes.copy(framed, head.length);
    framed.write(lineEnd, head.length + bytes.length, "latin1");
    return framed;
}
