import { validate } from "uuid";

/** Longest key in characters, so that a batch of claims stays within a value of the platform's service. */
const maximumKeyLength = 300;
/** The version's digit; the 12 hexadecimal digits of the time come before it, with a hyphen among them. */
const versionIndex = 14;

/**
 * Gets the issue time of a claim key, in milliseconds since the Unix epoch, as RFC 9562 places it in a UUID version 7.
 * Undefined where the key is not a customer's name, a slash and a UUID version 7 in lower case.
 * A takeover calls this for each claim of the window, so the UUID is checked once and its time read from the text.
 * @param key - Key to read.
 */
export function getIssueTime(key: string): number | undefined {
    const slash = key.lastIndexOf("/");
    const uuid = key.slice(slash + 1);
    if (slash < 1 || key.length > maximumKeyLength || uuid[versionIndex] !== "7") {
        return undefined;
    }
    if (!validate(uuid) || uuid !== uuid.toLowerCase()) {
        return undefined;
    }
    return Number.parseInt(uuid.slice(0, 8) + uuid.slice(9, 13), 16);
}
