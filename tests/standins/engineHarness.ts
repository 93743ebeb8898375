import type { TestContext } from "node:test";
import type { Pass, PassResult } from "../../src/connection/endpoint/engineProtocol.ts";
import { EngineStandin } from "../../standins/engine/engineStandin.ts";

/** Layers of the tests' model. */
const modelLayers = 12;

/** Starts engines for a test and sends them passes. */
export const engineHarness = {
    modelLayers,
    /** Starts an engine that holds some layers and stops it after the test. */
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
    /** Makes a pass of three words through all layers. */
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
    /** Posts a JSON value. */
    post: (engine: { getAddress(): string; }, path: string, body: unknown): Promise<Response> =>
        fetch(`http://${engine.getAddress()}${path}`, { method: "POST", body: JSON.stringify(body) }),
    /** Sends passes as one batch and gets their results in order of completion. */
    async send(engine: EngineStandin, ...passes: Pass[]): Promise<PassResult[]> {
        const response = await engineHarness.post(engine, "/v1/passes", { passes });
        const lines = (await response.text()).trim().split("\n");
        return lines.map(line => JSON.parse(line) as PassResult);
    },
    /** Sends one pass. */
    async sendOne(engine: EngineStandin, change: Partial<Pass> = {}): Promise<Partial<PassResult>> {
        return (await engineHarness.send(engine, engineHarness.createPass(change)))[0] ?? {};
    },
};
