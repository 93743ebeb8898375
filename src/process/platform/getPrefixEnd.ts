/** An etcd range end that means "to the end of all keys". */
const endOfAllKeys = Buffer.from([0]);

/**
 * Gets the first key, in the order of bytes, after all keys with a prefix.
 * @param prefix - Bytes that the keys begin with.
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
