import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { request } from "undici";
import { type DeployedStandin, LocalDeployment } from "../../scripts/deployment/localDeployment.ts";
import { askChat } from "./askChat.ts";
import { readStatus } from "./readStatus.ts";
import { testEngines } from "./testEngines.ts";
import { waitFor } from "./waitFor.ts";

describe("Stages of model engines", () => {
    let deployment: LocalDeployment;

    before(async () => {
        deployment = await LocalDeployment.create({ nodes: 2, engines: testEngines, documents: 0, isBuilt: false });
        await deployment.apply();
    });

    after(async () => {
        await deployment.kill();
    });

    /** Gets the engine of a stage in the first chain of a response. */
    function findStage(chain: string, stage: "first" | "second"): DeployedStandin {
        const engine = deployment.engines.find(({ name }) => name.startsWith(stage) && chain.includes(`${name}[`));
        assert.ok(engine !== undefined, `The chain "${chain}" names no engine of the ${stage} stage.`);
        return engine;
    }

    async function waitForState(endpoint: string, state: string): Promise<void> {
        await waitFor(`all nodes see ${endpoint} as ${state}`, async () => {
            for (const node of deployment.nodes) {
                const { endpoints } = await readStatus(node);
                if (!endpoints.some(known => known.endpoint === endpoint && known.state === state)) {
                    return false;
                }
            }
            return true;
        });
    }

    async function countRequests({ address }: DeployedStandin): Promise<number> {
        const response = await request(`http://${address}/standin/record/summary`);
        const { requests, refused } = await response.body.json() as {
            requests: number;
            refused: Record<string, number>;
        };
        return requests + (refused["leaving"] ?? 0);
    }

    /** Sends requests through all nodes and checks that a leaving engine receives none of them. */
    async function assertUnused(engine: DeployedStandin): Promise<void> {
        await waitForState(engine.name, "leaving");
        const requestsBefore = await countRequests(engine);
        for (const node of [...deployment.nodes, ...deployment.nodes]) {
            const answer = await askChat({ deployment, node, prompt: "After the sign", maximumTokens: 5 });
            assert.ok(!answer.chain.includes(`${engine.name}[`), answer.chain);
        }
        assert.equal(await countRequests(engine), requestsBefore);
    }

    it("give a complete, correct response if a stage is killed in the middle", async () => {
        let killed = "";
        await askChat({
            deployment,
            node: deployment.nodes[0]!,
            prompt: "Explain the payslip of March",
            onMiddle: ({ chain }) => {
                const engine = findStage(chain, "second");
                killed = engine.name;
                engine.process.signal("SIGKILL");
            },
        });
        await deployment.restartEngine(killed);
        await waitForState(killed, "serving");
    });

    it("give a complete, correct response if a stage freezes in the middle", async () => {
        let frozen: DeployedStandin | undefined;
        await askChat({
            deployment,
            node: deployment.nodes[1]!,
            prompt: "Draft the note for the ward",
            onMiddle: ({ chain }) => {
                frozen = findStage(chain, "first");
                frozen.process.signal("SIGSTOP");
            },
        });
        frozen!.process.signal("SIGCONT");
        await waitForState(frozen!.name, "serving");
    });

    it("give a complete, correct response if all open connections to the engines become unresponsive", async () => {
        await askChat({
            deployment,
            node: deployment.nodes[0]!,
            prompt: "Summarise the notes of the ward",
            onMiddle: () => {
                for (const engine of deployment.engines) {
                    void deployment.setFaults(engine, { freezeExistingConnections: true });
                }
            },
        });
    });

    it("give no new requests to an engine that reports leaving, and complete those in flight", async () => {
        let leaving: DeployedStandin | undefined;
        await askChat({
            deployment,
            node: deployment.nodes[1]!,
            prompt: "Explain the rejection in plain words",
            onMiddle: ({ chain }) => {
                leaving = findStage(chain, "first");
                void deployment.setFaults(leaving, { leaving: true });
            },
        });
        await assertUnused(leaving!);
        await deployment.setFaults(leaving!, { leaving: false });
        await waitForState(leaving!.name, "serving");
    });

    it("give no new requests to an engine that the platform's list marks as leaving", async () => {
        const engine = deployment.engines[2]!;
        const { name, address } = engine;
        await deployment.setVm(name, { state: "leaving", role: "endpoint", address });
        await assertUnused(engine);
        await deployment.setVm(name, { state: "live", role: "endpoint", address });
        await waitForState(name, "serving");
    });
});
