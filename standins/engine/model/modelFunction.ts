const vocabularySize = 4096;
const endTokens = 16;

/** Mixes two 32-bit integers into one. */
function mix(first: number, second: number): number {
    let hash = Math.imul(first ^ Math.imul(second, 0xcc9e2d51), 0x1b873593);
    hash = Math.imul(hash ^ (hash >>> 15), 0x85ebca6b);
    return hash ^ (hash >>> 13);
}

/**
 * The arithmetic that stands in for a language model: deterministic 32-bit integers.
 * Each layer keeps a running digest of all its inputs (its KV cache), and its output depends on the layer, the input
 * and the digest, so that a missing, doubled or reordered run of any layer changes every later token.
 */
export const modelFunction = {
    mix,
    /** Digest of a layer that has seen no input. */
    emptyDigest: 0,
    /**
     * Splits a prompt into tokens: one a whitespace-separated word, at least one.
     * @param text - Prompt.
     */
    tokenize(text: string): number[] {
        const tokens = text.split(/\s+/).filter(word => word.length > 0).map(hashWord);
        return tokens.length > 0 ? tokens : [hashWord("")];
    },
    /** Gets the input of layer 0 for a token. */
    embed: (token: number): number => mix(0x9e3779b9, token) >>> 0,
    /** Gets a layer's digest after one more input. */
    addToDigest: (digest: number, input: number): number => mix(digest + 0x7f4a7c15 | 0, input),
    /** Gets a layer's output, an unsigned 32-bit integer; the digest already has the input. */
    getOutput: (layer: number, input: number, digest: number): number => mix(mix(layer + 1, input), digest) >>> 0,
    /** Gets the token that the output of the model's last layer stands for. */
    getToken: (output: number): number => output % vocabularySize,
    /** Whether a token ends the answer. */
    isEnd: (token: number): boolean => token < endTokens,
    /** Gets the text of a token; empty for a token that ends the answer. */
    getText: (token: number): string => token < endTokens ? "" : `w${token} `,
};

function hashWord(word: string): number {
    let hash = word.length;
    for (let index = 0; index < word.length; index++) {
        hash = mix(hash, word.charCodeAt(index));
    }
    return (hash >>> 0) % vocabularySize;
}
