import { request } from "undici";
import { Err, Ok, type Result } from "../../result.ts";
import { NodeStatus } from "../admin/nodeStatus.ts";

const timeoutMilliseconds = 2000;

/**
 * Asks a node for its status.
 * @param address - host:port of its admin listener.
 * @returns The status, or why it could not be had, as a sentence.
 */
export async function fetchNodeStatus(address: string): Promise<Result<NodeStatus, string>> {
    try {
        const signal = AbortSignal.timeout(timeoutMilliseconds);
        const { statusCode, body } = await request(`http://${address}/status`, { signal, reset: true });
        const text = await body.text();
        if (statusCode !== 200) {
            return Err(`${address} answered with status ${statusCode}; check that it is a node's admin listener.`);
        }
        const parsed = NodeStatus.schema.safeParse(JSON.parse(text));
        return parsed.success ? Ok(parsed.data) : Err(`${address} runs another release; use the same as the nodes.`);
    }
    catch (error) {
        const reason = error instanceof Error ? error.message || error.name : String(error);
        return Err(`${address} gave no status (${reason}); check that the node runs and the address is its own.`);
    }
}
