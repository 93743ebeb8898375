import type { Metrics } from "./metrics/metrics.ts";
import { createCountingStore } from "./platform/createCountingStore.ts";
import { createVmListReader } from "./platform/createVmListReader.ts";
import { EtcdStore } from "./platform/etcdStore.ts";
import type { PlatformStore } from "./platform/platformStore.ts";
import type { ListVms } from "./platform/vmList.ts";
import type { NodeSettings } from "./settings/nodeSettings.ts";

/** What a node uses of the platform: its key-value service, with the calls counted, and its list of machines. */
export class PlatformAccess {
    readonly store: PlatformStore;
    readonly listVms: ListVms;
    private readonly connectedStore: EtcdStore;

    private constructor(settings: NodeSettings["platform"], metrics: Metrics) {
        const { storeAddress, vmListAddress, timeoutMilliseconds } = settings;
        this.connectedStore = EtcdStore.create({ address: storeAddress, timeoutMilliseconds });
        this.store = createCountingStore(this.connectedStore, (call, outcome) => {
            metrics.storeCallsTotal.inc({ call, outcome });
        });
        this.listVms = createVmListReader({ address: vmListAddress, timeoutMilliseconds });
    }

    /**
     * Creates the access; it connects at the first call.
     * @param settings - Addresses and timeout.
     * @param metrics - Where the calls are counted.
     */
    static create(settings: NodeSettings["platform"], metrics: Metrics): PlatformAccess {
        return new PlatformAccess(settings, metrics);
    }

    /** Closes the connections to the key-value service. */
    async close(): Promise<void> {
        await this.connectedStore.close();
    }
}
