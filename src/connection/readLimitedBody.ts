/**
 * Reads a body.
 * @param body - The body. Its connection is closed if it is too long.
 * @param maximumBytes - Maximum size of the body.
 * @returns The bytes; undefined if the body is longer.
 */
export async function readLimitedBody(body: AsyncIterable<Buffer>, maximumBytes: number): Promise<Buffer | undefined> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of body) {
        bytes += chunk.length;
        if (bytes > maximumBytes) {
            return undefined;
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}
