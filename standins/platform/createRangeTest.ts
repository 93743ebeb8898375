const allKeys = "\0";

/**
 * Creates the test whether a key lies in a range of the etcd v3 API.
 * @param key - First key of the range.
 * @param rangeEnd - First key after the range; empty for one key, a zero byte for no end.
 */
export function createRangeTest(key: string, rangeEnd: string): (candidate: string) => boolean {
    if (rangeEnd === "") {
        return candidate => candidate === key;
    }
    if (rangeEnd === allKeys) {
        return candidate => candidate >= key;
    }
    return candidate => candidate >= key && candidate < rangeEnd;
}
