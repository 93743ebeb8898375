import type { ServerResponse } from "node:http";

/** Sends a stand-in's whole answer as JSON, in chunks. */
export function sendJson(response: ServerResponse, status: number, body: object): void {
    response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
}
