import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { LocalDeployment } from "../../scripts/deployment/localDeployment.ts";
import { DocumentCaller } from "./documentCaller.ts";
import { readExecutions } from "./readExecutions.ts";
import { readStatus } from "./readStatus.ts";
import { testEngines } from "./testEngines.ts";
import { waitFor } from "./waitFor.ts";

const keys = 8;
const nodes = 3;

describe("Stored responses", () => {
    let deployment: LocalDeployment;

    before(async () => {
        const engines = testEngines.slice(1, 3);
        deployment = await LocalDeployment.create({ nodes, engines, documents: 1, isBuilt: false });
        await deployment.apply();
        await waitFor("all nodes know each other", async () => {
            const statuses = await Promise.all(deployment.nodes.map(readStatus));
            return statuses.every(({ members }) => members.filter(({ state }) => state === "alive").length === nodes);
        });
    });

    after(async () => {
        await deployment.kill();
    });

    it("remain available after the graceful stop of the node that served them", async () => {
        const [first, second, third] = deployment.nodes;
        const callers = Array.from({ length: keys }, () => DocumentCaller.create(deployment));
        for (const caller of callers) {
            assert.equal((await caller.send(first!)).outcome, "finished");
        }
        assert.equal(await first!.process.stop(), 0);
        for (const [index, caller] of callers.entries()) {
            const repeat = await caller.send(index % 2 === 0 ? second! : third!);
            assert.equal(repeat.outcome, "finished", repeat.errorMessage);
            assert.ok(repeat.isReplayed);
            assert.equal(await readExecutions(deployment, caller.key), 1);
        }
    });
});
