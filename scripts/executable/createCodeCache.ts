import { setTimeout as sleep } from "node:timers/promises";
import { RouterCallers } from "../soak/router/routerCallers.ts";
import { RouterDeployment } from "../soak/router/routerDeployment.ts";
import { SeededRandom } from "../soak/seededRandom.ts";

/** Nodes that speak to each other; each records what it has compiled. */
const nodes = 3;
/** Requests of all kinds, so that what serves callers is compiled. */
const requests = 150;
const requestIntervalMilliseconds = 15;
/** Exchanges with peers and reviews of all kinds have run some times by then. */
const settleMilliseconds = 1_500;
const seed = 1;

/**
 * Serves requests of all kinds from a small deployment of the bundle, and writes the functions that a node has compiled.
 * @param bundle - Path of the bundle.
 * @param file - Path of the file to write.
 * @param flags - Flags of Node.js; the code is refused by a process that runs with others.
 */
export async function createCodeCache(bundle: string, file: string, flags: readonly string[]): Promise<void> {
    const script = new URL("recordCodeCache.ts", import.meta.url).pathname;
    const recorder = [process.execPath, ...flags, "--disable-warning=ExperimentalWarning", script, bundle, file];
    const faults: string[] = [];
    const deployment = await RouterDeployment.create({
        nodes,
        isBuilt: false,
        foxlead: recorder,
        onLine: () => undefined,
        onUnexpectedEnd: name => faults.push(`${name} has ended by itself.`),
    });
    try {
        await serveRequests(deployment);
        // One after the other: the last one's file stays.
        for (const node of deployment.nodes) {
            await deployment.terminate(node);
        }
    }
    finally {
        await deployment.close();
    }
    if (faults.length > 0) {
        throw new Error(
            `The code cache could not be recorded: ${faults.join(" ")} Run the bundle by itself to see why.`,
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
