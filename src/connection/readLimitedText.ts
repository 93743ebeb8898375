import { readLimitedBody } from "./readLimitedBody.ts";

/**
 * Reads a body as text.
 * @param body - The body. Its connection is closed if it is too long.
 * @param maximumBytes - Maximum size of the body.
 * @throws RangeError if the body is longer.
 */
export async function readLimitedText(body: AsyncIterable<Buffer>, maximumBytes: number): Promise<string> {
    const bytes = await readLimitedBody(body, maximumBytes);
    if (bytes === undefined) {
        throw new RangeError(`The response is longer than ${maximumBytes} bytes.`);
    }
    return bytes.toString("utf8");
}
