import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { EndpointDirectory } from "../../../src/connection/endpoint/endpointDirectory.ts";
import { systemClock } from "../../../src/process/systemClock.ts";
import type { EndpointConfiguration } from "../../../src/version/configuration.ts";
import { EngineStandin } from "../../../standins/engine/engineStandin.ts";
import { waitUntil } from "../../support/waitUntil.ts";

const model = "m";
const layers = [{ model, start: 0, end: 4 }];
const dataCentres = { near: "a", neighbour: "a", idle: "a", far: "b" };
const pass = { request: "r", attempt: 1, model, position: 0, layerStart: 0, layerEnd: 4, priority: 0, text: "a b c" };

describe("EndpointDirectory", () => {
    const engines = new Map<string, EngineStandin>();
    let directory: EndpointDirectory;

    before(async () => {
        const endpoints: Record<string, EndpointConfiguration> = {};
        for (const [name, dataCentre] of Object.entries(dataCentres)) {
            const engine = EngineStandin.create({ name, layers, modelLayers: { [model]: 4 } });
            await engine.listen();
            engines.set(name, engine);
            const address = engine.getAddress();
            endpoints[name] = {
                kind: "engine",
                address,
                dataCentre,
                accelerator: "k",
                layers,
                checksFencing: true,
                maximumSequences: 8,
            };
        }
        directory = EndpointDirectory.create({
            clock: systemClock,
            onAnswered: endpoint => directory.observeAnswer(endpoint),
            onSilentConnection: () => undefined,
            onStateChanged: () => undefined,
        });
        directory.update({ endpoints });
    });

    after(async () => {
        await directory.close();
        for (const engine of engines.values()) {
            await engine.close();
        }
    });

    it("probes the engines in use of the same data centre when one of them is unreachable", async () => {
        for (const name of ["near", "neighbour", "far"]) {
            assert.ok((await directory.getEngine(name)!.runPass({ ...pass, request: name }, 3)).ok);
        }
        for (const engine of engines.values()) {
            engine.setFaults({ freeze: true });
        }
        directory.observeUnreachable("near");
        await waitUntil("the neighbour is unreachable", () => directory.getState("neighbour")?.state === "unreachable");
        assert.equal(directory.getState("far")?.state, "serving");
        assert.equal(directory.getState("idle")?.state, "serving");
    });
});
