import { LRUCache } from "lru-cache";

/** Maximum number of prompt prefixes in the index. */
const maximumPrefixes = 10_000;

/** Maps prompt prefixes to the endpoints that cache them. Only a hint, because cache events may be late or missing. */
export class PrefixIndex {
    private readonly endpointsByPrefixHash = new LRUCache<string, Set<string>>({ max: maximumPrefixes });

    private constructor() {}

    /** Creates an empty index. */
    static create(): PrefixIndex {
        return new PrefixIndex();
    }

    /** Adds an endpoint that caches a prefix. */
    addPrefix(prefixHash: string, endpoint: string): void {
        const endpoints = this.endpointsByPrefixHash.get(prefixHash) ?? new Set();
        endpoints.add(endpoint);
        this.endpointsByPrefixHash.set(prefixHash, endpoints);
    }

    /** Removes an endpoint that no longer caches a prefix. */
    removePrefix(prefixHash: string, endpoint: string): void {
        this.endpointsByPrefixHash.get(prefixHash)?.delete(endpoint);
    }

    /** Gets the endpoints that probably cache a prefix. */
    getEndpoints(prefixHash: string): ReadonlySet<string> | undefined {
        return this.endpointsByPrefixHash.get(prefixHash);
    }
}
