const partKeyPattern = /^p[0-9a-f]+$/;

/** Checks if the key of a suspect is that of a part of prompts; see `fingerprintParts`. Otherwise it is a request's fingerprint. */
export function isPartKey(key: string): boolean {
    return partKeyPattern.test(key);
}
