import { validate } from "uuid";

/** Longest key in characters. Keeps a batch of claims within the size limit of a stored value. */
const maximumKeyLength = 300;
/** Index of the version digit. The 12 hexadecimal digits of the time and two hyphens precede it. */
const versionIndex = 14;

/**
 * Gets the issue time of a claim key in milliseconds since the Unix epoch, as encoded in a UUID version 7 (RFC 9562).
 * Returns undefined if the key is not a customer name, a slash and a UUID version 7 in lower case.
 * A takeover calls this for each claim in the window, so the UUID is validated once and the time parsed from its text.
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
