import assert from "node:assert/strict";
import { after, before, beforeEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { LocalDeployment } from "../../scripts/deployment/localDeployment.ts";
import { checkAnswer } from "../../scripts/soak/answerCheck.ts";
import { FaultTimeline } from "../../scripts/soak/faultTimeline.ts";
import { LogTail } from "../../scripts/soak/logTail.ts";
import { NodeFleet } from "../../scripts/soak/nodeFleet.ts";
import { PlannedCallers } from "../../scripts/soak/plannedCallers.ts";
import { SeededRandom } from "../../scripts/soak/seededRandom.ts";
import { SteadyLoad } from "../../scripts/soak/steadyLoad.ts";
import { Violations } from "../../scripts/soak/violations.ts";
import { DocumentCaller } from "./documentCaller.ts";
import { readExecutions } from "./readExecutions.ts";
import { testEngines } from "./testEngines.ts";
import { waitFor } from "./waitFor.ts";

const slowMilliseconds = 1_500;

describe("Nodes that stop, are killed or freeze", () => {
    let deployment: LocalDeployment;

    before(async () => {
        deployment = await LocalDeployment.create({ nodes: 3, engines: testEngines, documents: 2, isBuilt: false });
        await deployment.apply();
    });

    beforeEach(async () => {
        await setDocumentDelay(5);
    });

    after(async () => {
        await deployment.kill();
    });

    async function setDocumentDelay(delayMilliseconds: number): Promise<void> {
        for (const document of deployment.documents) {
            await deployment.setFaults(document, { delayMilliseconds });
        }
    }

    it("interrupt no request in a rolling restart under load", async () => {
        const timeline = FaultTimeline.create();
        const violations = Violations.create(timeline, LogTail.create(), () => undefined);
        const fleet = NodeFleet.create(deployment, timeline, violations);
        let finished = 0;
        const random = SeededRandom.create(1);
        const callers = PlannedCallers.create({
            deployment,
            fleet,
            random,
            nodeRandom: SeededRandom.create(2),
            onSent: record => {
                finished += record.outcome === "finished" ? 1 : 0;
                checkAnswer(record, timeline, violations);
            },
        });
        const load = SteadyLoad.create({ random, requestsPerSecond: 40, send: number => callers.send(number) });
        const running = load.run();
        await waitFor("the load runs", () => Promise.resolve(finished >= 10));
        for (const fleetNode of fleet.getLive()) {
            await fleet.stopGracefully(fleetNode);
            await fleet.start();
        }
        load.stop();
        await running;
        fleet.close();
        assert.deepEqual(violations.getAll(), []);
        assert.ok(finished > 50, `Only ${finished} requests were answered.`);
    });

    it("do not run a request again if the node is killed between the claim and the response", async () => {
        await setDocumentDelay(slowMilliseconds);
        const [first, second, third] = deployment.nodes;
        const caller = DocumentCaller.create(deployment);
        const answer = caller.send(first!);
        await waitFor("the call is executed", async () => await readExecutions(deployment, caller.key) === 1);
        first!.process.signal("SIGKILL");
        assert.equal((await answer).outcome, "cut");
        await deployment.removeNode(first!);
        for (const node of [second!, third!]) {
            const repeat = await caller.send(node);
            assert.equal(repeat.outcome, "outcomeUnknown", repeat.errorMessage);
        }
        assert.equal(await readExecutions(deployment, caller.key), 1);
        await deployment.startNode();
    });

    it("run a request at most once if a node freezes while it holds the claim and resumes later", async () => {
        const [first, second] = deployment.nodes;
        const callers: DocumentCaller[] = [];
        const answers: ReturnType<DocumentCaller["send"]>[] = [];
        await deployment.setFaults(deployment.platform, { delayMilliseconds: 200 });
        // Requests start at intervals, so that the node freezes at a different step of each.
        for (let index = 0; index < 20; index += 1) {
            const caller = DocumentCaller.create(deployment);
            callers.push(caller);
            answers.push(caller.send(first!));
            await sleep(25);
        }
        first!.process.signal("SIGSTOP");
        await deployment.setFaults(deployment.platform, { delayMilliseconds: 0 });
        const retries = await Promise.all(callers.map(caller => caller.send(second!)));
        first!.process.signal("SIGCONT");
        await Promise.all(answers);
        for (const [index, caller] of callers.entries()) {
            const executions = await readExecutions(deployment, caller.key);
            assert.ok(executions <= 1, `Key ${index} was executed ${executions} times.`);
            const isFinished = retries[index]!.outcome === "finished" || (await answers[index])!.outcome === "finished";
            assert.ok(!isFinished || executions === 1, `Key ${index} was answered but not executed.`);
        }
    });
});
