import type { Metrics } from "./metrics/metrics.ts";
import { createCountingStore } from "./platform/createCountingStore.ts";
import { createVmListReader } from "./platform/createVmListReader.ts";
import { EtcdStore } from "./platform/etcdStore.ts";
import type { PlatformStore } from "./platform/platformStore.ts";
import type { ListVms } from "./platform/vmList.ts";
import type { NodeSettings } from "./settings/nodeSettings.ts";

/** Gives a node access to the platform: its key-value store, with metrics of the calls, and its list of VMs. */
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
     * Creates the access. It connects on the first call.
     * @param metrics - Metrics that count the store calls.
     */
    static create(settings: NodeSettings["platform"], metrics: Metrics): PlatformAccess {
        return new PlatformAccess(settings, metrics);
    }

    /** Closes the connections to the key-value store. */
    async close(): Promise<void> {
        await this.connectedStore.close();
    }
}
