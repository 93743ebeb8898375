import type { TestContext } from "node:test";
import type { Pass, PassResult } from "../../src/connection/endpoint/engineProtocol.ts";
import { EngineStandin } from "../../standins/engine/engineStandin.ts";

/** Total number of layers of the test model. */
const modelLayers = 12;

/** Starts engine stand-ins for tests and sends passes to them. */
export const engineHarness = {
    modelLayers,
    /** Starts an engine that holds all layers of the test model, and stops it after the test. */
    async start(context: TestContext, options: Partial<Parameters<typeof EngineStandin.create>[0]> = {}) {
        const engine = EngineStandin.create({
            name: "engine",
            layers: [{ model: "m", start: 0, end: modelLayers }],
            modelLayers: { m: modelLayers },
            stepBaseMilliseconds: 0,
            stepMillisecondsPerLayer: 0,
            prefillMillisecondsPerPosition: 0,
            loadLagMilliseconds: 0,
            ...options,
        });
        context.after(() => engine.close());
        await engine.listen();
        return engine;
    },
    /** Creates a pass of three words through all layers, with overrides. */
    createPass: (change: Partial<Pass> = {}): Pass => ({
        id: 1,
        request: "r",
        attempt: 0,
        model: "m",
        position: 0,
        layerStart: 0,
        layerEnd: modelLayers,
        priority: 0,
        ...(change.tokens || change.hidden ? {} : { text: "one two three" }),
        ...change,
    }),
    /** Sends a JSON value in a POST request. */
    post: (engine: { getAddress(): string; }, path: string, body: unknown): Promise<Response> =>
        fetch(`http://${engine.getAddress()}${path}`, { method: "POST", body: JSON.stringify(body) }),
    /** Sends passes as one batch and returns their results in order of completion. */
    async send(engine: EngineStandin, ...passes: Pass[]): Promise<PassResult[]> {
        const response = await engineHarness.post(engine, "/v1/passes", { passes });
        const lines = (await response.text()).trim().split("\n");
        return lines.map(line => JSON.parse(line) as PassResult);
    },
    /** Sends one pass and returns its result. */
    async sendOne(engine: EngineStandin, change: Partial<Pass> = {}): Promise<Partial<PassResult>> {
        return (await engineHarness.send(engine, engineHarness.createPass(change)))[0] ?? {};
    },
};
