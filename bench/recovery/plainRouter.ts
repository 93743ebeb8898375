import { Agent } from "undici";
import type { PassResult } from "../../src/connection/endpoint/engineProtocol.ts";
import { passResultSchema } from "../../src/connection/endpoint/passResultSchema.ts";
import { LineSplitter } from "../../src/connection/lineSplitter.ts";
import { systemClock } from "../../src/process/systemClock.ts";
import type { Chain, ChainStage } from "../../src/request/chain/chain.ts";
import { EstimatedTimeChooser } from "../../src/request/chain/estimatedTimeChooser.ts";
import type { Configuration } from "../../src/version/configuration.ts";
import { createSeededRandom } from "../../tests/support/createSeededRandom.ts";
import type { EngineFleet } from "./engineFleet.ts";
import type { Router, RouterCounts, RouterRequest } from "./router.ts";

/** Position, attempt and input of a pass. */
interface PlainPass {
    position: number;
    attempt: number;
    input: object;
}

const dataCentre = "centre-a";
const passTimeoutMilliseconds = 2_000;
const maximumAttempts = 12;

/**
 * Baseline router. It chooses chains as a node does, but has a fixed timeout per pass, no probes and no state of
 * endpoints in addition to the chooser's estimates, and retries the complete answer from the prompt. Tokens that an earlier
 * attempt emitted are not emitted again.
 */
export class PlainRouter implements Router {
    readonly counts: RouterCounts = { brokenAttempts: new Map(), replacedConnections: 0 };
    private readonly fleet: EngineFleet;
    private readonly configuration: Configuration;
    private readonly chooser: EstimatedTimeChooser;
    private readonly agent = new Agent({ connections: 64 });

    private constructor(fleet: EngineFleet, seed: number) {
        this.fleet = fleet;
        const configuration = this.configuration = fleet.createConfiguration();
        this.chooser = EstimatedTimeChooser.create({
            getConfiguration: () => configuration,
            getEndpointState: endpoint => ({
                endpoint,
                state: "serving",
                layers: configuration.endpoints[endpoint]!.layers,
            }),
            clock: systemClock,
            random: createSeededRandom(seed),
        });
    }

    /** Creates a router over the engines. */
    static create(fleet: EngineFleet, seed: number): PlainRouter {
        return new PlainRouter(fleet, seed);
    }

    /** Generates an answer and returns whether it is complete. */
    async generate(request: RouterRequest): Promise<boolean> {
        const excluded = new Set<string>();
        let emitted = 0;
        for (let attempt = 1; attempt <= maximumAttempts && !request.signal.aborted; attempt += 1) {
            const chain = this.chooseChain(excluded);
            request.onChain(chain);
            this.chooser.reserveChain(chain);
            let produced = 0;
            const failedEndpoint = await this.runAttempt(request, chain, attempt, text => {
                produced += 1;
                if (produced > emitted) {
                    emitted = produced;
                    request.onText(text);
                }
            });
            this.chooser.releaseChain(chain);
            this.cancel(request, chain, attempt);
            if (failedEndpoint === undefined) {
                return true;
            }
            const { brokenAttempts } = this.counts;
            brokenAttempts.set("no result", (brokenAttempts.get("no result") ?? 0) + 1);
            this.chooser.observeFailure(failedEndpoint);
            excluded.add(failedEndpoint);
        }
        return false;
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        await this.agent.destroy();
    }

    private chooseChain(excluded: Set<string>): Chain {
        const options = { model: this.fleet.model, dataCentre, positions: 64, excluded, preferred: new Set<string>() };
        const chain = this.chooser.chooseChain(options);
        if (chain.ok) {
            return chain.val;
        }
        excluded.clear();
        return this.chooser.chooseChain(options).unwrap();
    }

    /** Generates the complete answer once. Returns the endpoint that failed, if any. */
    private async runAttempt(
        request: RouterRequest,
        chain: Chain,
        attempt: number,
        onText: (text: string) => void,
    ): Promise<string | undefined> {
        let position = 0;
        let input: object = { text: request.prompt, tokens: [] };
        for (let tokens = 0; tokens < request.maximumTokens; tokens += 1) {
            let result: PassResult | undefined;
            for (const stage of chain.stages) {
                const stageInput: object = result === undefined ? input : { hidden: result.hidden };
                result = await this.runPass(request, stage, { attempt, position, input: stageInput });
                if (result === undefined) {
                    return stage.endpoint;
                }
            }
            if (result === undefined || result.end === true) {
                return undefined;
            }
            onText(result.text ?? "");
            position += result.count;
            input = { tokens: [result.token] };
        }
        return undefined;
    }

    private async runPass(
        request: RouterRequest,
        stage: ChainStage,
        { attempt, position, input }: PlainPass,
    ): Promise<PassResult | undefined> {
        const { endpoint, layerStart, layerEnd } = stage;
        const commonFields = { id: 1, request: request.id, attempt, model: this.fleet.model, position, priority: 0 };
        const startedAt = performance.now();
        const signal = AbortSignal.any([request.signal, AbortSignal.timeout(passTimeoutMilliseconds)]);
        try {
            const pass = { ...commonFields, layerStart, layerEnd, ...input };
            const result = parseResult(await this.post(endpoint, "/v1/passes", { passes: [pass] }, signal));
            if (result?.outcome !== "done") {
                return undefined;
            }
            const elapsedMilliseconds = performance.now() - startedAt;
            const { count: positions, queue } = result;
            const layers = layerEnd - layerStart;
            this.chooser.observePass({ endpoint, layers, positions, elapsedMilliseconds, queue });
            return result;
        }
        catch {
            return undefined;
        }
    }

    private cancel(request: RouterRequest, chain: Chain, attempt: number): void {
        for (const { endpoint } of chain.stages) {
            const signal = AbortSignal.timeout(passTimeoutMilliseconds);
            this.post(endpoint, "/v1/cancel", { request: request.id, attempt }, signal).catch(() => undefined);
        }
    }

    private async post(endpoint: string, path: string, body: object, signal: AbortSignal): Promise<Buffer> {
        const response = await this.agent.request({
            origin: `http://${this.configuration.endpoints[endpoint]!.address}`,
            path,
            method: "POST",
            body: JSON.stringify(body),
            headers: { "content-type": "application/json" },
            signal,
        });
        return Buffer.from(await response.body.arrayBuffer());
    }
}

function parseResult(body: Buffer): PassResult | undefined {
    let result: PassResult | undefined;
    const splitter = LineSplitter.create({
        maximumLineBytes: body.length,
        onLine: line => {
            result = passResultSchema.parse(JSON.parse(line));
        },
    });
    splitter.push(body);
    return result;
}
