import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { LocalDeployment } from "../../scripts/deployment/localDeployment.ts";
import { sendChat } from "../../scripts/deployment/sendChat.ts";
import { computeReferenceAnswer } from "../../standins/engine/referenceModel.ts";
import { testEngines } from "./testEngines.ts";
import { waitFor } from "./waitFor.ts";

const maximumTokens = 4;
/** Far above the sum of the grace period, the lease duration and the load time; it only ends a hanging test. */
const loadTimeoutMilliseconds = 90_000;
const prompt = "Explain the payslip";

describe("Orders to engines", () => {
    let deployment: LocalDeployment;

    before(async () => {
        // Two engines for the first half of the model and one for the second.
        const engines = testEngines.slice(0, 3);
        deployment = await LocalDeployment.create({ nodes: 3, engines, documents: 0, isBuilt: false });
        await deployment.apply();
    });

    after(async () => {
        await deployment.kill();
    });

    async function ask() {
        const [node] = deployment.nodes;
        const common = { address: node!.callerAddress, apiKey: deployment.apiKey, service: "assistant" };
        return await sendChat({ ...common, prompt, maximumTokens, isStreamed: false });
    }

    it("restore a layer range after the only engine that holds it is killed", async () => {
        const expected = computeReferenceAnswer({
            modelLayers: deployment.modelLayers,
            prompt: `user: ${prompt}`,
            maximumTokens,
        });
        assert.equal((await ask()).text, expected.text);
        const lost = deployment.engines.find(({ name }) => name === "second-a");
        lost!.process.signal("SIGKILL");
        const isAnswered = async () => (await ask()).text === expected.text;
        await waitFor("the range is loaded elsewhere", isAnswered, loadTimeoutMilliseconds);
    });
});
