import { EtcdStore } from "../../platform/etcdStore.ts";
import type { PlatformStore } from "../../platform/platformStore.ts";
import type { ExitCode } from "../exitCode.ts";

const timeoutMilliseconds = 5000;

/**
 * Runs a command with a client of the platform's key-value service, and closes the client afterwards.
 * @param address - Address of the service, as host:port.
 * @param command - Command to run.
 */
export async function withStore(
    address: string,
    command: (store: PlatformStore) => Promise<ExitCode>,
): Promise<ExitCode> {
    const store = EtcdStore.create({ address, timeoutMilliseconds });
    try {
        return await command(store);
    }
    finally {
        await store.close();
    }
}
