import { Ok, type PlatformStore, type StoredValue } from "../../../src/index.ts";

/** A store in memory, for the examples; a program of yours brings an adapter to its own key-value service. */
export function createInMemoryStore(): PlatformStore {
    const values = new Map<string, StoredValue>();
    let revision = 0;
    return {
        get: key => Promise.resolve(Ok(values.get(key))),
        list: prefix => {
            const found = [...values.values()].filter(stored => stored.key.startsWith(prefix));
            return Promise.resolve(Ok({ values: found.sort((left, right) => left.key < right.key ? -1 : 1) }));
        },
        compareAndSwap: (key, expectedRevision, value) => {
            const current = values.get(key);
            if ((current?.revision ?? 0) !== expectedRevision) {
                return Promise.resolve(Ok({ swapped: false, current }));
            }
            revision += 1;
            values.set(key, { key, value, revision });
            return Promise.resolve(Ok({ swapped: true, revision }));
        },
        grantLease: () => Promise.resolve(Ok("1")),
        renewLease: () => Promise.resolve(Ok(true)),
        revokeLease: () => Promise.resolve(Ok.EMPTY),
        watch: () => ({ close: () => undefined }),
    };
}
