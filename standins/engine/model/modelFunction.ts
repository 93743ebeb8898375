const vocabularySize = 4096;
const endTokenCount = 16;

/** Hashes two 32-bit integers into one. */
function mix(first: number, second: number): number {
    let hash = Math.imul(first ^ Math.imul(second, 0xcc9e2d51), 0x1b873593);
    hash = Math.imul(hash ^ (hash >>> 15), 0x85ebca6b);
    return hash ^ (hash >>> 13);
}

/**
 * Deterministic 32-bit integer arithmetic that replaces a language model.
 * Each layer keeps a running digest of all its inputs as its KV cache. The output depends on the layer, the input and
 * the digest, so a missing, duplicate or reordered run of any layer changes every later token.
 */
export const modelFunction = {
    mix,
    /** Digest of a layer without any input. */
    emptyDigest: 0,
    /** Splits a prompt into one token per whitespace-separated word. The result has at least one token. */
    tokenize(text: string): number[] {
        const tokens = text.split(/\s+/).filter(word => word.length > 0).map(hashWord);
        return tokens.length > 0 ? tokens : [hashWord("")];
    },
    /** Gets the input of layer 0 for a token. */
    embed: (token: number): number => mix(0x9e3779b9, token) >>> 0,
    /** Gets the digest of a layer after another input. */
    addToDigest: (digest: number, input: number): number => mix(digest + 0x7f4a7c15 | 0, input),
    /** Gets the output of a layer as an unsigned 32-bit integer. The digest must already include the input. */
    getOutput: (layer: number, input: number, digest: number): number => mix(mix(layer + 1, input), digest) >>> 0,
    /** Gets the token for an output of the last layer. */
    getToken: (output: number): number => output % vocabularySize,
    /** Gets if a token ends the answer. */
    isEnd: (token: number): boolean => token < endTokenCount,
    /** Gets the text of a token, which is empty for a token that ends the answer. */
    getText: (token: number): string => token < endTokenCount ? "" : `w${token} `,
};

function hashWord(word: string): number {
    let hash = word.length;
    for (let index = 0; index < word.length; index++) {
        hash = mix(hash, word.charCodeAt(index));
    }
    return (hash >>> 0) % vocabularySize;
}
