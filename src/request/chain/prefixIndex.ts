import { LRUCache } from "lru-cache";

/** Prompt prefixes that are remembered. */
const maximumPrefixes = 10_000;

/** Which endpoints are believed to hold which prompt prefixes. A hint only: cache events come late and with gaps. */
export class PrefixIndex {
    private readonly endpointsOf = new LRUCache<string, Set<string>>({ max: maximumPrefixes });

    private constructor() {}

    /** Creates an empty index. */
    static create(): PrefixIndex {
        return new PrefixIndex();
    }

    /** Remembers that an endpoint holds a prefix. */
    addPrefix(prefixHash: string, endpoint: string): void {
        const endpoints = this.endpointsOf.get(prefixHash) ?? new Set();
        endpoints.add(endpoint);
        this.endpointsOf.set(prefixHash, endpoints);
    }

    /** Forgets that an endpoint holds a prefix. */
    removePrefix(prefixHash: string, endpoint: string): void {
        this.endpointsOf.get(prefixHash)?.delete(endpoint);
    }

    /** Gets the endpoints that are believed to hold a prefix. */
    getEndpoints(prefixHash: string): ReadonlySet<string> | undefined {
        return this.endpointsOf.get(prefixHash);
    }
}
