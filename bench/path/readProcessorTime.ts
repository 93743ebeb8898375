import { request } from "undici";

const microsecondsPerSecond = 1_000_000;

/**
 * Reads the processor time that a node has used from its metrics.
 * @param adminAddress - host:port of the node's admin listener.
 * @returns Times in microseconds, as returned by `process.cpuUsage`.
 */
export async function readProcessorTime(adminAddress: string): Promise<NodeJS.CpuUsage> {
    const response = await request(`http://${adminAddress}/metrics`);
    const text = await response.body.text();
    return {
        user: readValue(text, "process_cpu_user_seconds_total"),
        system: readValue(text, "process_cpu_system_seconds_total"),
    };
}

function readValue(text: string, name: string): number {
    const match = new RegExp(`^${name} ([0-9.e+-]+)`, "m").exec(text);
    return Number(match?.[1] ?? Number.NaN) * microsecondsPerSecond;
}
