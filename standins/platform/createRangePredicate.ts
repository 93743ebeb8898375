const allKeys = "\0";

/**
 * Creates a function that gets if a key is in a range of the etcd v3 API.
 * @param key - First key of the range.
 * @param rangeEnd - End of the range (exclusive); empty for a single key, a zero byte for no end.
 */
export function createRangePredicate(key: string, rangeEnd: string): (candidate: string) => boolean {
    if (rangeEnd === "") {
        return candidate => candidate === key;
    }
    if (rangeEnd === allKeys) {
        return candidate => candidate >= key;
    }
    return candidate => candidate >= key && candidate < rangeEnd;
}
