import type { ClaimOwner } from "../../src/process/claims/claimOwner.ts";
import { claimStoreKeys } from "../../src/process/claims/claimStoreKeys.ts";
import { createCountingStore } from "../../src/process/platform/createCountingStore.ts";
import { EtcdStore } from "../../src/process/platform/etcdStore.ts";
import type { PlatformStore } from "../../src/process/platform/platformStore.ts";
import { countWireBytes } from "./countWireBytes.ts";
import { createBenchClaim } from "./createBenchClaim.ts";
import { createBenchClaimOwner } from "./createBenchClaimOwner.ts";
import { fitSlope } from "./fitSlope.ts";
import { getHeapBytes } from "./getHeapBytes.ts";
import { measureProcessorTime } from "./measureProcessorTime.ts";
import type { Slope } from "./slope.ts";
import { startStandin } from "./startStandin.ts";

const claimsPerSlot = 10;
const fillConcurrency = 64;
const timeoutMilliseconds = 10_000;
/** Number of the event that reports that a shard was loaded. */
const shardLoadedNumber = 1301;
/** Description and unit of each figure of a takeover. */
const figureDescriptions = {
    wall: ["takeover, wall time", "ms"],
    processor: ["takeover, processor", "ms"],
    reads: ["takeover, store reads", "calls"],
    bytes: ["takeover, bytes", "KiB"],
    heap: ["memory of a shard", "KiB"],
} as const;

/** Measures how a new owner loads full rings of several sizes from the platform stand-in. */
export async function measureTakeover(): Promise<Slope[]> {
    const standin = await startStandin("standins/platform/main.ts");
    const store = EtcdStore.create({ address: standin.address, timeoutMilliseconds });
    const runs: { x: number; figures: Record<keyof typeof figureDescriptions, number>; }[] = [];
    try {
        for (const [shard, slots] of [500, 1_500, 3_000, 6_000].entries()) {
            await fillRing(store, shard, slots);
            const figures = await measureRing(store, standin.address, shard, slots);
            runs.push({ x: slots * claimsPerSlot / 1_000, figures });
        }
    }
    finally {
        await store.close();
        await standin.stop();
    }
    // The first run is a warm-up.
    return Object.entries(figureDescriptions).map(([name, [quantity, unit]]) => {
        const points = runs.map(({ x, figures }) => ({ x, y: figures[name as keyof typeof figureDescriptions] }));
        const description = { id: `takeover.${name}`, role: "claim owner", quantity, unit };
        return fitSlope({ ...description, variable: "thousand claims" }, points.slice(1));
    });
}

/** Measures one takeover of a full ring; its bytes are counted during a second takeover through a proxy. */
async function measureRing(
    store: PlatformStore,
    address: string,
    shard: number,
    slots: number,
): Promise<Record<keyof typeof figureDescriptions, number>> {
    const before = getHeapBytes();
    let reads = 0;
    let owner: ClaimOwner | undefined;
    const startedAt = performance.now();
    const spent = await measureProcessorTime(async () => {
        owner = await takeOver(createCountingStore(store, () => reads += 1), shard, slots);
    });
    const wall = performance.now() - startedAt;
    const heap = (getHeapBytes() - before) / 1_024;
    owner?.close();
    const transferredBytes = await countWireBytes(address, async proxyAddress => {
        const proxied = EtcdStore.create({ address: proxyAddress, timeoutMilliseconds });
        (await takeOver(proxied, shard, slots)).close();
        await proxied.close();
    });
    return { wall, processor: spent / 1_000, reads, heap, bytes: transferredBytes / 1_024 };
}

/** Fills every slot of a shard with batches of a previous owner. */
async function fillRing(store: PlatformStore, shard: number, slots: number): Promise<void> {
    const now = Date.now();
    let next = 0;
    async function fill(): Promise<void> {
        while (next < slots) {
            const number = next++;
            const claims = Array.from({ length: claimsPerSlot }, () => createBenchClaim(shard));
            const batch = { number, batchId: `earlier-${number}`, writtenAt: now, horizon: -1, claims };
            await store.compareAndSwap(claimStoreKeys.getSlotKey(shard, number), 0, JSON.stringify(batch));
        }
    }
    await Promise.all(Array.from({ length: fillConcurrency }, fill));
}

/** Loads a shard until its owner can decide the first claim. */
async function takeOver(store: PlatformStore, shard: number, ringSize: number): Promise<ClaimOwner> {
    let onLoaded = (): void => undefined;
    const loaded = new Promise<void>(resolve => onLoaded = resolve);
    const write = (event: { number: number; }) => event.number === shardLoadedNumber ? onLoaded() : undefined;
    const owner = createBenchClaimOwner({ store, ringSize, log: { write } });
    owner.loadShard(shard);
    await loaded;
    return owner;
}
