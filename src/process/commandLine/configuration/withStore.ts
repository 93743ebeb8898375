import { EtcdStore } from "../../platform/etcdStore.ts";
import type { PlatformStore } from "../../platform/platformStore.ts";
import type { ExitCode } from "../exitCode.ts";

const timeoutMilliseconds = 5000;

/**
 * Runs a verb with a connection to the platform's key-value service, which it closes afterwards.
 * @param address - host:port of the service.
 * @param verb - Work to do.
 */
export async function withStore(
    address: string,
    verb: (store: PlatformStore) => Promise<ExitCode>,
): Promise<ExitCode> {
    const store = EtcdStore.create({ address, timeoutMilliseconds });
    try {
        return await verb(store);
    }
    finally {
        await store.close();
    }
}
