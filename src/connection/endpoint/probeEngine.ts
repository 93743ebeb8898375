import { type buildConnector, Client } from "undici";
import { isConnectionRefused } from "./isConnectionRefused.ts";
import type { ProbeOutcome } from "./probeOutcome.ts";

/**
 * Sends a health check to an engine over a new connection.
 * @param origin - Scheme, host and port of the engine.
 * @param timeoutMilliseconds - Time limit for connecting and the response together.
 * @param connect - Opens the connection. Default: the HTTP client does.
 */
export async function probeEngine(
    origin: string,
    timeoutMilliseconds: number,
    connect?: buildConnector.connector,
): Promise<ProbeOutcome> {
    const client = new Client(origin, { connectTimeout: timeoutMilliseconds, connect });
    try {
        const signal = AbortSignal.timeout(timeoutMilliseconds);
        const response = await client.request({ method: "GET", path: "/v1/health", signal });
        await response.body.dump();
        return response.statusCode === 200 ? "answering" : "silent";
    }
    catch (error) {
        return isConnectionRefused(error) ? "refused" : "silent";
    }
    finally {
        void client.destroy();
    }
}
