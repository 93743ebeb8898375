import assert from "node:assert/strict";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { EndpointDirectory } from "../../../src/connection/endpoint/endpointDirectory.ts";
import { EndpointInstructions } from "../../../src/connection/instructions/endpointInstructions.ts";
import { systemClock } from "../../../src/process/systemClock.ts";
import type { EndpointConfiguration } from "../../../src/version/configuration.ts";
import { EngineStandin } from "../../../standins/engine/engineStandin.ts";
import { FakeClock } from "../../support/fakeClock.ts";
import { toEndpointAddress } from "../../support/toEndpointAddress.ts";
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
            const address = toEndpointAddress(engine.getAddress());
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
            instructions: EndpointInstructions.create({ clock: systemClock, log: { write: () => undefined } }),
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

    describe("instructions of endpoints", () => {
        const leaving = { isLeaving: true, pauseMilliseconds: undefined };
        const status = {
            endpoint: "",
            leaving: false,
            layers: [],
            queue: 0,
            sequences: 0,
            freePositions: 1,
            fencingNumber: 0,
        };
        let name: string;
        let other: EndpointDirectory;

        beforeEach(() => {
            name = directory.getNames("engine")[0]!;
            const clock = FakeClock.create();
            other = EndpointDirectory.create({
                clock,
                instructions: EndpointInstructions.create({ clock, log: { write: () => undefined } }),
                onAnswered: () => undefined,
                onSilentConnection: () => undefined,
                onStateChanged: () => undefined,
            });
            const endpoint = {
                kind: "document" as const,
                address: toEndpointAddress("127.0.0.1:1"),
                dataCentre: "a",
                layers: [],
            };
            other.update({ endpoints: { [name]: { ...endpoint, checksFencing: false, maximumSequences: 1 } } });
        });

        afterEach(() => other.close());

        it("keep it leaving whatever a peer reports, until no process listens at its address", () => {
            other.observeInstructions(name, leaving);
            other.observePeerReport(name, { state: "serving", layers: [] });
            other.observeAnswer(name);
            assert.equal(other.getState(name)?.state, "leaving");
            other.observeConnectionRefused(name);
            assert.equal(other.getState(name)?.state, "unreachable");
            other.observeAnswer(name);
            assert.equal(other.getState(name)?.state, "serving");
        });

        it("keep it leaving after it has refused a pass for that, whatever a peer reports", () => {
            other.observeLeavingRefusal(name);
            other.observePeerReport(name, { state: "serving", layers: [] });
            assert.equal(other.getState(name)?.state, "leaving");
        });

        it("keep it leaving until a status that was requested after the announcement says otherwise", () => {
            other.observeInstructions(name, leaving);
            const answered = { ...status, loadAgeMilliseconds: 0, cacheSequence: 0 };
            other.observeStatus(name, answered, 0);
            assert.equal(other.getState(name)?.state, "leaving");
            other.observeStatus(name, answered, 1);
            assert.equal(other.getState(name)?.state, "serving");
        });

        it("pause it for requests only", () => {
            other.observeInstructions(name, { isLeaving: false, pauseMilliseconds: 100 });
            assert.deepEqual(
                [other.getState(name)?.state, other.getStateForRequests(name)?.state],
                ["serving", "paused"],
            );
            assert.equal(other.getPauseMilliseconds([name]), 100);
        });
    });
});
