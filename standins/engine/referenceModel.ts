import { modelFunction } from "./model/modelFunction.ts";

/** Input of the reference model. */
interface ReferenceInput {
    /** Total number of layers of the model. */
    modelLayers: number;
    prompt: string;
    /** Maximum number of tokens in the answer. */
    maximumTokens: number;
}

/** Complete answer of the reference model. */
interface ReferenceAnswer {
    /** Tokens of the answer, without the end token. */
    tokens: number[];
    text: string;
    /** Whether the model ended the answer before `maximumTokens` was reached. */
    ended: boolean;
}

/**
 * Computes an answer without splitting the model. Tests compare it with the answer of several engines to detect wrong,
 * missing or duplicate tokens.
 */
export function computeReferenceAnswer(input: ReferenceInput): ReferenceAnswer {
    const digests = new Int32Array(input.modelLayers).fill(modelFunction.emptyDigest);
    const tokens: number[] = [];
    let inputs = modelFunction.tokenize(input.prompt);
    while (tokens.length < input.maximumTokens) {
        const token = modelFunction.getToken(runAllLayers(digests, inputs));
        if (modelFunction.isEnd(token)) {
            return { tokens, text: tokens.map(modelFunction.getText).join(""), ended: true };
        }
        tokens.push(token);
        inputs = [token];
    }
    return { tokens, text: tokens.map(modelFunction.getText).join(""), ended: false };
}

/** Runs tokens through all layers and gets the output of the last layer at the last position. */
function runAllLayers(digests: Int32Array, tokens: number[]): number {
    let value = 0;
    for (const token of tokens) {
        value = modelFunction.embed(token);
        for (let layer = 0; layer < digests.length; layer++) {
            const digest = modelFunction.addToDigest(digests[layer] ?? 0, value);
            digests[layer] = digest;
            value = modelFunction.getOutput(layer, value, digest);
        }
    }
    return value;
}
