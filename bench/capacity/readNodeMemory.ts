import { request } from "undici";

/** Memory of a node process. */
interface NodeMemory {
    heapMebibytes: number;
    residentMebibytes: number;
}

/**
 * Reads the memory of a node from its metrics.
 * @param adminAddress - host:port of the node's admin listener.
 */
export async function readNodeMemory(adminAddress: string): Promise<NodeMemory> {
    const response = await request(`http://${adminAddress}/metrics`);
    const text = await response.body.text();
    return {
        heapMebibytes: readValue(text, "nodejs_heap_size_used_bytes") / 2 ** 20,
        residentMebibytes: readValue(text, "process_resident_memory_bytes") / 2 ** 20,
    };
}

function readValue(text: string, name: string): number {
    return Number(new RegExp(`^${name} ([0-9.e+-]+)`, "m").exec(text)?.[1] ?? Number.NaN);
}
