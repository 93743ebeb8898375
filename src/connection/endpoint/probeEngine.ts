import { Client } from "undici";
import type { ProbeOutcome } from "./probeOutcome.ts";

/**
 * Asks an engine for its health over a new connection.
 * @param origin - Scheme, host and port.
 * @param timeoutMilliseconds - Time for connection and answer together, in milliseconds.
 */
export async function probeEngine(origin: string, timeoutMilliseconds: number): Promise<ProbeOutcome> {
    const client = new Client(origin, { connectTimeout: timeoutMilliseconds });
    try {
        const signal = AbortSignal.timeout(timeoutMilliseconds);
        const response = await client.request({ method: "GET", path: "/v1/health", signal });
        await response.body.dump();
        return response.statusCode === 200 ? "answering" : "silent";
    }
    catch (error) {
        return (error as { code?: unknown; }).code === "ECONNREFUSED" ? "refused" : "silent";
    }
    finally {
        void client.destroy();
    }
}
