import { setTimeout as sleep } from "node:timers/promises";
import { RouterCallers } from "../soak/router/routerCallers.ts";
import { RouterDeployment } from "../soak/router/routerDeployment.ts";
import { SeededRandom } from "../soak/seededRandom.ts";

/** Number of nodes; several, so that the code for communication with peers is compiled. */
const nodes = 3;
/** Number of requests, enough for all kinds, so that the code that serves callers is compiled. */
const requests = 150;
const requestIntervalMilliseconds = 15;
/** Time in which all periodic tasks and exchanges with peers run several times. */
const settleMilliseconds = 1_500;
const seed = 1;

/**
 * Runs a small deployment of the bundle under load, and writes the V8 code cache of a node to a file.
 * @param bundle - Path of the bundle.
 * @param file - Path of the file to write.
 * @param flags - Flags of Node.js; V8 rejects the code cache in a process with other flags.
 */
export async function createCodeCache(bundle: string, file: string, flags: readonly string[]): Promise<void> {
    const script = new URL("recordCodeCache.ts", import.meta.url).pathname;
    const recorder = [process.execPath, ...flags, "--disable-warning=ExperimentalWarning", script, bundle, file];
    const failures: string[] = [];
    const deployment = await RouterDeployment.create({
        nodes,
        isBuilt: false,
        foxlead: recorder,
        onLine: () => undefined,
        onUnexpectedEnd: name => failures.push(`${name} exited unexpectedly.`),
    });
    try {
        await serveRequests(deployment);
        // Stops one node at a time: each writes the file, and that of the last one remains.
        for (const node of deployment.nodes) {
            await deployment.terminate(node);
        }
    }
    finally {
        await deployment.close();
    }
    if (failures.length > 0) {
        throw new Error(
            `The code cache could not be recorded: ${failures.join(" ")} Run the bundle directly to see the cause.`,
        );
    }
}

async function serveRequests(deployment: RouterDeployment): Promise<void> {
    const callers = RouterCallers.create({ deployment, random: SeededRandom.create(seed), onEnded: () => undefined });
    await sleep(settleMilliseconds);
    const calls: Promise<void>[] = [];
    for (let index = 0; index < requests; index += 1) {
        calls.push(callers.send(`request-${index}`));
        await sleep(requestIntervalMilliseconds);
    }
    await Promise.all(calls);
    await callers.close();
}
