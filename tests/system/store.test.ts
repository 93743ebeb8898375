import assert from "node:assert/strict";
import { after, afterEach, before, describe, it } from "node:test";
import { LocalDeployment } from "../../scripts/deployment/localDeployment.ts";
import { askChat } from "./askChat.ts";
import { DocumentCaller } from "./documentCaller.ts";
import { readExecutions } from "./readExecutions.ts";
import { readStatus } from "./readStatus.ts";
import { testEngines } from "./testEngines.ts";
import { waitFor } from "./waitFor.ts";

describe("The platform's store", () => {
    let deployment: LocalDeployment;

    before(async () => {
        deployment = await LocalDeployment.create({ nodes: 2, engines: testEngines, documents: 2, isBuilt: false });
        await deployment.apply();
    });

    afterEach(async () => {
        await deployment.setFaults(deployment.platform, { down: false, loseAnswers: 0 });
    });

    after(async () => {
        await deployment.kill();
    });

    it("allows only idempotent requests while it is down; others are refused and do not run", async () => {
        await deployment.setFaults(deployment.platform, { down: true });
        for (const node of deployment.nodes) {
            const refusedCaller = DocumentCaller.create(deployment);
            const refused = await refusedCaller.send(node);
            assert.equal(refused.outcome, "notRun", refused.errorMessage);
            assert.equal(await readExecutions(deployment, refusedCaller.key), 0);
            await askChat({ deployment, node, prompt: "Explain while the store is down", maximumTokens: 10 });
        }
    });

    it("is not needed by a new node, which gets the configuration from its peers while the store is down", async () => {
        await deployment.setFaults(deployment.platform, { down: true });
        const node = await deployment.startNode();
        await waitFor("the new node is ready", async () => (await readStatus(node)).ready);
        const statuses = await Promise.all(deployment.nodes.map(readStatus));
        const versions = new Set(statuses.map(({ configurationVersion }) => configurationVersion));
        assert.equal(versions.size, 1);
        await askChat({ deployment, node, prompt: "Explain from the new node", maximumTokens: 10 });
    });

    it("causes no second run and no refusal after a run when it loses the responses to claims", async () => {
        for (const [index, node] of [...deployment.nodes, ...deployment.nodes].entries()) {
            const caller = DocumentCaller.create(deployment);
            await deployment.setFaults(deployment.platform, { loseAnswers: 1 + index % 3 });
            const answer = await caller.send(node);
            const executions = await readExecutions(deployment, caller.key);
            assert.equal(executions, answer.outcome === "finished" ? 1 : 0, answer.outcome);
            const repeat = await caller.send(deployment.nodes[(index + 1) % deployment.nodes.length]!);
            assert.equal(repeat.outcome, answer.outcome);
            assert.equal(await readExecutions(deployment, caller.key), executions);
        }
    });
});
