import { request } from "undici";
import type { DeployedNode } from "../../scripts/deployment/localDeployment.ts";
import { NodeStatus } from "../../src/process/admin/nodeStatus.ts";

/** Reads the status of a node from its admin listener. */
export async function readStatus(node: DeployedNode): Promise<NodeStatus> {
    const response = await request(`http://${node.adminAddress}/status`);
    return NodeStatus.schema.parse(await response.body.json());
}
