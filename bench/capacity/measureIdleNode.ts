import { readFileSync, writeFileSync } from "node:fs";
import { LocalDeployment } from "../../scripts/deployment/localDeployment.ts";
import { readProcessorTime } from "../path/readProcessorTime.ts";
import { createSizedConfiguration } from "./createSizedConfiguration.ts";
import { designSize } from "./designSize.ts";
import type { IdleNode } from "./idleNode.ts";
import { readNodeMemory } from "./readNodeMemory.ts";

const settleMilliseconds = 2_000;
const measuredMilliseconds = 5_000;

/**
 * Measures a built node that serves no requests, first without a configuration and then with one of the design size. The
 * runners are configured as document endpoints, which nodes don't observe, since a single node would have to observe all
 * engines. There are no models, since the node would plan in every round for layers that no engine serves.
 */
export async function measureIdleNode(): Promise<IdleNode[]> {
    const deployment = await LocalDeployment.create({ nodes: 1, engines: [], documents: 1, isBuilt: true });
    try {
        const start = await readNode(deployment, "at start, no configuration", measuredMilliseconds);
        await deployment.apply(writeLargeFile(deployment));
        const configured = await readNode(deployment, "2,000 customers, 1,200 endpoints", measuredMilliseconds);
        await deployment.stop();
        return [start, configured];
    }
    finally {
        await deployment.kill();
    }
}

/** Writes the configuration without indentation, since indented by four it exceeds the size limit of the store. */
function writeLargeFile(deployment: LocalDeployment): string {
    const file = deployment.writeConfiguration(configuration => Object.assign(configuration, createLargeParts()));
    const json = readFileSync(file, "utf8").replace(/^\/\/.*$/m, "");
    writeFileSync(file, JSON.stringify(JSON.parse(json)));
    return file;
}

function createLargeParts(): object {
    const size = { ...designSize, models: 1 };
    const { customers, dataCentres, links, endpoints } = createSizedConfiguration(size) as Record<string, object>;
    const documents: Record<string, object> = {};
    for (const [name, endpoint] of Object.entries(endpoints ?? {})) {
        documents[name] = { ...endpoint as object, kind: "document", layers: [] };
    }
    return { customers, dataCentres, links, endpoints: documents, models: {}, services: {} };
}

async function readNode(deployment: LocalDeployment, state: string, durationMilliseconds: number): Promise<IdleNode> {
    const { adminAddress } = deployment.nodes[0]!;
    await new Promise(resolve => setTimeout(resolve, settleMilliseconds));
    const before = await readProcessorTime(adminAddress);
    await new Promise(resolve => setTimeout(resolve, durationMilliseconds));
    const after = await readProcessorTime(adminAddress);
    return {
        state,
        ...await readNodeMemory(adminAddress),
        filesMebibytes: readFileMebibytes(deployment.nodes[0]!.process.getProcessId()),
        processorMillisecondsPerSecond: (after.user + after.system - before.user - before.system)
            / durationMilliseconds,
    };
}

/** Reads the resident memory of a process that is mapped from files, mainly from the executable. */
function readFileMebibytes(processId: number): number {
    const status = readFileSync(`/proc/${processId}/status`, "utf8");
    return Number(/^RssFile:\s+(\d+) kB$/m.exec(status)?.[1] ?? Number.NaN) / 1_024;
}
