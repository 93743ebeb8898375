import { request } from "node:http";
import { callerKey } from "../../standins/router/callerKey.ts";

const timeoutMilliseconds = 10_000;
let sentCount = 0;

/**
 * Sends one ordinary request on a connection of its own.
 * @param port - Port of the program's listener for callers.
 * @param path - Path, which selects the route.
 * @returns Whether it was answered completely with status 200.
 */
export function sendOrdinary(port: number, path: string): Promise<boolean> {
    sentCount += 1;
    const headers = {
        host: "one.example",
        "request-id": `ordinary-${sentCount}`,
        authorization: `Bearer ${callerKey}`,
        "token-counts": "10,5",
    };
    return new Promise(resolve => {
        const sent = request(
            { host: "127.0.0.1", port, path, method: "POST", headers, agent: false, timeout: timeoutMilliseconds },
            response => {
                response.on("error", () => resolve(false));
                response.on("close", () => resolve(response.complete && response.statusCode === 200));
                response.resume();
            },
        );
        sent.on("timeout", () => sent.destroy());
        sent.on("error", () => resolve(false));
        sent.end("ordinary");
    });
}
