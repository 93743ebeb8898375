/**
 * Reads a body as text.
 * @param body - The body. Its connection is closed if it is too long.
 * @param maximumBytes - Maximum size of the body.
 * @throws RangeError if the body is longer.
 */
export async function readLimitedText(body: AsyncIterable<Buffer>, maximumBytes: number): Promise<string> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of body) {
        bytes += chunk.length;
        if (bytes > maximumBytes) {
            throw new RangeError(`The response is longer than ${maximumBytes} bytes.`);
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}
