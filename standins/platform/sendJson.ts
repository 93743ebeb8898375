import type { ServerResponse } from "node:http";

/** Sends a complete JSON response. */
export function sendJson(response: ServerResponse, status: number, body: object): void {
    const text = JSON.stringify(body);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    response.end(text);
}
