/** Range end of etcd that stands for the end of all keys. */
const endOfAllKeys = Buffer.from([0]);

/**
 * Gets the first key in byte order after all keys that start with a prefix.
 */
export function getPrefixEnd(prefix: Buffer): Buffer {
    for (let index = prefix.length - 1; index >= 0; index--) {
        const byte = prefix.readUInt8(index);
        if (byte < 0xff) {
            return Buffer.concat([prefix.subarray(0, index), Buffer.from([byte + 1])]);
        }
    }
    return endOfAllKeys;
}
