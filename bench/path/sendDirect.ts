import { Agent } from "undici";
import type { PassResult } from "../../src/connection/endpoint/engineProtocol.ts";

/** Options of {@link sendDirect}. */
interface DirectOptions {
    /** host:port of the engines, ordered by their layers. */
    addresses: readonly string[];
    model: string;
    layers: number;
    prompt: string;
    maximumTokens: number;
}

const agent = new Agent({ connections: 64 });
let nextRequestNumber = 1;

/**
 * Generates one response by sending its passes directly to the engines, with one call per pass and without a node.
 * @param options - The engines and the request.
 * @returns The number of generated tokens.
 */
export async function sendDirect(options: DirectOptions): Promise<number> {
    const { addresses, layers, model } = options;
    const request = `direct-${nextRequestNumber++}`;
    const layersPerStage = layers / addresses.length;
    let input: object = { text: options.prompt, tokens: [] };
    let position = 0;
    let tokens = 0;
    while (tokens < options.maximumTokens) {
        let result: PassResult | undefined;
        for (const [stage, address] of addresses.entries()) {
            const layerStart = stage * layersPerStage;
            const commonFields = { id: 1, request, attempt: 1, model, position, layerStart, priority: 0 };
            const stageInput = result === undefined ? input : { hidden: result.hidden };
            result = await sendPass(address, { ...commonFields, layerEnd: layerStart + layersPerStage, ...stageInput });
        }
        if (result === undefined || result.end === true) {
            break;
        }
        tokens += 1;
        position += result.count;
        input = { tokens: [result.token] };
    }
    await Promise.all(addresses.map(address => post(address, "/v1/cancel", { request, attempt: 1 })));
    return tokens;
}

async function sendPass(address: string, pass: object): Promise<PassResult> {
    const result = JSON.parse(await post(address, "/v1/passes", { passes: [pass] })) as PassResult;
    if (result.outcome !== "done") {
        throw new Error(`A direct pass had the outcome ${result.outcome}: ${result.reason}.`);
    }
    return result;
}

async function post(address: string, path: string, body: object): Promise<string> {
    const response = await agent.request({
        origin: `http://${address}`,
        method: "POST",
        path,
        body: JSON.stringify(body),
        headers: { "content-type": "application/json" },
    });
    return await response.body.text();
}
