import { request } from "undici";
import type { LocalDeployment } from "../../scripts/deployment/localDeployment.ts";

/** Counts the executions of a key by all document services. */
export async function readExecutions(deployment: LocalDeployment, key: string): Promise<number> {
    let executions = 0;
    for (const { address } of deployment.documents) {
        const response = await request(`http://${address}/standin/record`);
        const record = await response.body.json() as { executions: Record<string, number>; };
        executions += record.executions[key] ?? 0;
    }
    return executions;
}
