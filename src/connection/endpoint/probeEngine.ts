import { Client } from "undici";

/**
 * Asks an engine for its health over a new connection.
 * @param origin - Scheme, host and port.
 * @param timeoutMilliseconds - Time for connection and answer together, in milliseconds.
 * @returns Whether the engine answered in time.
 */
export async function probeEngine(origin: string, timeoutMilliseconds: number): Promise<boolean> {
    const client = new Client(origin, { connectTimeout: timeoutMilliseconds });
    try {
        const signal = AbortSignal.timeout(timeoutMilliseconds);
        const response = await client.request({ method: "GET", path: "/v1/health", signal });
        await response.body.dump();
        return response.statusCode === 200;
    }
    catch {
        return false;
    }
    finally {
        void client.destroy();
    }
}
