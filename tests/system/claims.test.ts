import assert from "node:assert/strict";
import { after, before, beforeEach, describe, it } from "node:test";
import { type DeployedNode, LocalDeployment } from "../../scripts/deployment/localDeployment.ts";
import { RendezvousOwners } from "../../src/process/membership/rendezvousOwners.ts";
import { DocumentCaller } from "./documentCaller.ts";
import { readExecutions } from "./readExecutions.ts";
import { readStatus } from "./readStatus.ts";
import { testEngines } from "./testEngines.ts";
import { waitFor } from "./waitFor.ts";

/** Enough keys that some fall into the shards of the node that is killed. */
const keys = 16;
const nodes = 3;
const slowMilliseconds = 1_500;

describe("Retries of claimed requests", () => {
    let deployment: LocalDeployment;

    beforeEach(async () => {
        while (deployment.nodes.length < nodes) {
            await deployment.startNode();
        }
        await settleMembers();
    });

    before(async () => {
        const engines = testEngines.slice(1, 3);
        deployment = await LocalDeployment.create({ nodes, engines, documents: 2, isBuilt: false });
        await deployment.apply();
    });

    after(async () => {
        await deployment.kill();
    });

    function createCallers(): DocumentCaller[] {
        return Array.from({ length: keys }, () => DocumentCaller.create(deployment));
    }

    /** Waits until each node knows exactly the live nodes, so that all agree on the owners of the shards. */
    async function settleMembers(): Promise<void> {
        const names = deployment.nodes.map(({ name }) => name).sort();
        await waitFor("all nodes know each other", async () => {
            const statuses = await Promise.all(deployment.nodes.map(readStatus));
            return statuses.every(({ members }) => {
                const alive = members.filter(({ state }) => state === "alive").map(({ vm }) => vm);
                return alive.sort().join() === names.join();
            });
        });
    }

    async function setDocuments(faults: object): Promise<void> {
        for (const document of deployment.documents) {
            await deployment.setFaults(document, faults);
        }
    }

    /** Gets the owner of the first shard, and another node. */
    async function findOwner(): Promise<{ owner: DeployedNode; other: DeployedNode; }> {
        const names = deployment.nodes.map(({ name }) => name);
        const [ownerName] = (await RendezvousOwners.create()).getOwners("claims-0", names, 1);
        const owner = deployment.nodes.find(({ name }) => name === ownerName);
        const other = deployment.nodes.find(({ name }) => name !== ownerName);
        assert.ok(owner !== undefined && other !== undefined);
        return { owner, other };
    }

    async function kill(node: DeployedNode): Promise<void> {
        node.process.signal("SIGKILL");
        await node.process.exited;
        await deployment.removeNode(node);
    }

    async function countExecuted(callers: readonly DocumentCaller[]): Promise<number> {
        let executed = 0;
        for (const { key } of callers) {
            executed += await readExecutions(deployment, key);
        }
        return executed;
    }

    it("get the stored response, also if it is of a retry after a refusal", async () => {
        const [first, second] = deployment.nodes;
        const caller = DocumentCaller.create(deployment);
        await setDocuments({ refuseNext: 100 });
        const refused = await caller.send(first!);
        await setDocuments({ refuseNext: 0 });
        assert.equal(refused.outcome, "notRun", refused.errorMessage);
        assert.equal((await caller.send(first!)).outcome, "finished");
        for (const node of [first!, second!]) {
            const repeat = await caller.send(node);
            assert.equal(repeat.outcome, "finished", repeat.errorMessage);
            assert.ok(repeat.isReplayed);
        }
        assert.equal(await readExecutions(deployment, caller.key), 1);
    });

    it("are not refused as not run if the node that runs the request is killed while the store is down", async () => {
        const { owner, other } = await findOwner();
        const callers = createCallers();
        await setDocuments({ delayMilliseconds: slowMilliseconds });
        const answers = callers.map(caller => caller.send(owner));
        await waitFor("all calls are executed", async () => await countExecuted(callers) === keys);
        await deployment.setFaults(deployment.platform, { down: true });
        await kill(owner);
        await Promise.all(answers);
        const retries = await Promise.all(callers.map(caller => caller.send(other)));
        await deployment.setFaults(deployment.platform, { down: false });
        await setDocuments({ delayMilliseconds: 5 });
        const refused = retries.filter(({ outcome }) => outcome === "notRun");
        assert.equal(refused.length, 0, `${refused.length} of ${keys}: ${refused[0]?.errorMessage}`);
        assert.equal(await countExecuted(callers), keys);
    });

    it("get the stored response from the node that holds it while the store is down and the shard's owner is killed", async () => {
        const { owner, other } = await findOwner();
        const callers = createCallers();
        const answers = await Promise.all(callers.map(caller => caller.send(other)));
        assert.ok(answers.every(({ outcome }) => outcome === "finished"));
        await deployment.setFaults(deployment.platform, { down: true });
        await kill(owner);
        const retries = await Promise.all(callers.map(caller => caller.send(other)));
        await deployment.setFaults(deployment.platform, { down: false });
        const refused = retries.filter(({ outcome }) => outcome !== "finished");
        assert.equal(refused.length, 0, `${refused.length} of ${keys}: ${refused[0]?.errorMessage}`);
        // The responses remain stored for later retries.
        await waitFor("the store answers again", async () => {
            const later = await Promise.all(callers.map(caller => caller.send(other)));
            return later.every(({ outcome }) => outcome === "finished");
        });
    });
});
