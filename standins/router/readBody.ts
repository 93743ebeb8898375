import type { IncomingMessage } from "node:http";

/** Reads the body of a request as text. Returns undefined if the caller disconnects before its end. */
export async function readBody(request: IncomingMessage): Promise<string | undefined> {
    const chunks: Buffer[] = [];
    try {
        for await (const chunk of request) {
            chunks.push(chunk as Buffer);
        }
    }
    catch {
        return undefined;
    }
    return Buffer.concat(chunks).toString("utf8");
}
