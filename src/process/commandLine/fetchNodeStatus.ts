import { request } from "undici";
import { Err, Ok, type Result } from "../../result.ts";
import { NodeStatus } from "../admin/nodeStatus.ts";

const timeoutMilliseconds = 2000;

/**
 * Fetches the status of a node.
 * @param address - Address of its admin listener, as host:port.
 * @returns The status, or an error message.
 */
export async function fetchNodeStatus(address: string): Promise<Result<NodeStatus, string>> {
    try {
        const signal = AbortSignal.timeout(timeoutMilliseconds);
        const { statusCode, body } = await request(`http://${address}/status`, { signal, reset: true });
        const text = await body.text();
        if (statusCode !== 200) {
            return Err(`${address} responded with status ${statusCode}; check that it is a node's admin listener.`);
        }
        const parsed = NodeStatus.schema.safeParse(JSON.parse(text));
        return parsed.success
            ? Ok(parsed.data)
            : Err(`${address} runs another release; use the release that the nodes run.`);
    }
    catch (error) {
        const reason = error instanceof Error ? error.message || error.name : String(error);
        return Err(`${address} returned no status (${reason}); check that the node runs and the address is correct.`);
    }
}
