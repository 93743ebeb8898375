import { createHash } from "node:crypto";
import type { Configuration } from "./configuration.ts";

/** Index from API keys to customers, for one version of the configuration. */
export class CustomerIndex {
    private readonly customersByHash = new Map<string, string>();

    private constructor() {}

    /** Creates the index of a configuration. */
    static create(configuration: Configuration): CustomerIndex {
        const index = new CustomerIndex();
        for (const [name, customer] of Object.entries(configuration.customers)) {
            for (const keyHash of customer.keyHashes) {
                index.customersByHash.set(keyHash, name);
            }
        }
        return index;
    }

    /**
     * Gets the name of the customer that an API key belongs to.
     * @param apiKey - Key as sent by the caller.
     */
    getCustomer(apiKey: string): string | undefined {
        const digest = createHash("sha256").update(apiKey).digest("hex");
        return this.customersByHash.get(`sha256:${digest}`);
    }
}
