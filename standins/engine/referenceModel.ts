import { modelFunction } from "./model/modelFunction.ts";

/** A question to the reference model. */
interface ReferenceQuestion {
    /** Layers of the whole model. */
    modelLayers: number;
    prompt: string;
    /** Most tokens of the answer. */
    maximumTokens: number;
}

/** The whole answer of the reference model. */
interface ReferenceAnswer {
    /** Tokens of the answer, without the one that ends it. */
    tokens: number[];
    text: string;
    /** Whether the model ended the answer before `maximumTokens`. */
    ended: boolean;
}

/**
 * Computes an answer in one place, so that a wrong, missing or doubled token of a split run shows.
 * @param question - Prompt and sizes.
 */
export function referenceAnswer(question: ReferenceQuestion): ReferenceAnswer {
    const digests = new Int32Array(question.modelLayers).fill(modelFunction.emptyDigest);
    const tokens: number[] = [];
    let inputs = modelFunction.tokenize(question.prompt);
    while (tokens.length < question.maximumTokens) {
        const token = modelFunction.getToken(runAllLayers(digests, inputs));
        if (modelFunction.isEnd(token)) {
            return { tokens, text: tokens.map(modelFunction.getText).join(""), ended: true };
        }
        tokens.push(token);
        inputs = [token];
    }
    return { tokens, text: tokens.map(modelFunction.getText).join(""), ended: false };
}

/** Runs tokens through all layers, position by position, and gets the last output of the last layer. */
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
