import type { TestContext } from "node:test";
import { EtcdStore } from "../../../src/process/platform/etcdStore.ts";
import { PlatformStandin } from "../../../standins/platform/platformStandin.ts";
import { ManualClock } from "./manualClock.ts";

interface StoreFixture {
    standin: PlatformStandin;
    store: EtcdStore;
    /** Clock of the stand-in for leases, lags, limits and progress notifications. */
    platformClock: ManualClock;
    /** Clock of the store for timeouts. */
    storeClock: ManualClock;
}

/** Starts a stand-in and a store with timeouts of 100 milliseconds for calls and 5,000 milliseconds for silent watches. */
export async function createStoreFixture(
    context: TestContext,
    limits: { writesPerSecond?: number; readsPerSecond?: number; } = {},
): Promise<StoreFixture> {
    const platformClock = ManualClock.create();
    const storeClock = ManualClock.create();
    const standin = await PlatformStandin.create({ port: 0, clock: platformClock, ...limits });
    const store = EtcdStore.create({ address: standin.getAddress(), timeoutMilliseconds: 100, clock: storeClock });
    context.after(async () => {
        await store.close();
        await standin.close();
    });
    return { standin, store, platformClock, storeClock };
}
