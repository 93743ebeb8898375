import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { RouterDeployment } from "../../scripts/soak/router/routerDeployment.ts";
import type { SoakNode } from "../../scripts/soak/router/soakNode.ts";
import { RendezvousOwners } from "../../src/process/membership/rendezvousOwners.ts";
import { listStoreWatchers } from "../../src/process/router/listStoreWatchers.ts";

/** So many that only few of them watch the store. */
const nodeCount = 14;
/** Time within which a change must be in force, in milliseconds. */
const configurationMilliseconds = 3_000;
/** After this time without changes, the nodes know each other, and the watchers have calls that wait for the next change. */
const settleMilliseconds = 4_000;
/** Time from the stop of the node to the change. */
const stoppedMilliseconds = 200;
const pollMilliseconds = 50;

describe("foxlead platform with many nodes, of which the one that confirms the copies of all stands still", () => {
    let deployment: RouterDeployment;

    before(async () => {
        deployment = await RouterDeployment.create({
            nodes: nodeCount,
            configurationMilliseconds,
            isBuilt: false,
            onLine: () => undefined,
            onUnexpectedEnd: () => undefined,
        });
        await sleep(settleMilliseconds);
    });

    after(() => deployment.close());

    async function findFirstWatcher(): Promise<SoakNode> {
        const nodes = await Promise.all(deployment.nodes.map(async node => ({
            node,
            nodeId: await deployment.getNodeId(node) ?? assert.fail(`${node.name} does not answer.`),
            isWithoutStore: false,
        })));
        const { watching } = listStoreWatchers(nodes, await RendezvousOwners.create());
        return nodes.find(({ nodeId }) => nodeId === watching[0])!.node;
    }

    async function isInForce(node: SoakNode, version: number, until: number): Promise<boolean> {
        while (performance.now() < until) {
            if (await deployment.getVersionInForce(node) === version) {
                return true;
            }
            await sleep(pollMilliseconds);
        }
        return false;
    }

    // The store lost the waiting calls of all nodes. An answered health check counted as proof that nothing had changed, each node took that
    // over from others, and nobody took over from the one node that makes calls for changes: the copies of all stayed "current" and old.
    it("brings a change into force in time where the store loses the calls that wait for it", async () => {
        const watcher = await findFirstWatcher();
        watcher.process.signal("SIGSTOP");
        await sleep(stoppedMilliseconds);
        deployment.store.losePendingWatches();
        const version = deployment.configure();
        const until = performance.now() + configurationMilliseconds;
        const others = deployment.nodes.filter(node => node !== watcher);
        const areInForce = await Promise.all(others.map(node => isInForce(node, version, until)));
        watcher.process.signal("SIGCONT");
        const late = others.filter((_, index) => !areInForce[index]).map(({ name }) => name);
        assert.deepEqual(late, []);
    });
});
