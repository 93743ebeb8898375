import { parse, validate, version } from "uuid";

/** Longest key in characters, so that a batch of claims stays within a value of the platform's service. */
const maximumKeyLength = 300;
const timestampBytes = 6;

/**
 * Gets the issue time of a claim key, in milliseconds since the Unix epoch.
 * Undefined where the key is not a customer's name, a slash and a UUID version 7 in lower case.
 * @param key - Key to read.
 */
export function getIssueTime(key: string): number | undefined {
    const slash = key.lastIndexOf("/");
    const uuid = key.slice(slash + 1);
    if (slash < 1 || key.length > maximumKeyLength || uuid !== uuid.toLowerCase()) {
        return undefined;
    }
    if (!validate(uuid) || version(uuid) !== 7) {
        return undefined;
    }
    let time = 0;
    for (const byte of parse(uuid).subarray(0, timestampBytes)) {
        time = time * 256 + byte;
    }
    return time;
}
