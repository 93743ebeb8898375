/**
 * Measures three ways to prevent a request from running twice: one store write per request, an in-memory map, and the
 * claim log. Prints the store writes per second, the latency that a claim adds, and the duration of the takeover of a
 * full ring. The platform is a stand-in in this process that delays each call by 2 ms and, except during the takeover,
 * allows 500 writes and 2,000 reads per second.
 *
 * Run: node bench/claims.ts
 */
import { build, type Histogram } from "hdr-histogram-js";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { v7 } from "uuid";
import type { Claim } from "../src/process/claims/claim.ts";
import { ClaimOutcome } from "../src/process/claims/claimOutcome.ts";
import { ClaimOwner } from "../src/process/claims/claimOwner.ts";
import { claimStoreKeys } from "../src/process/claims/claimStoreKeys.ts";
import { createClaimKey } from "../src/process/claims/createClaimKey.ts";
import { getRingSize } from "../src/process/claims/getRingSize.ts";
import { ShardHash } from "../src/process/claims/shardHash.ts";
import { EtcdStore } from "../src/process/platform/etcdStore.ts";
import type { PlatformStore } from "../src/process/platform/platformStore.ts";
import { systemClock } from "../src/process/systemClock.ts";
import { PlatformStandin } from "../standins/platform/platformStandin.ts";

const seed = 20_260_729;
const storeDelayMilliseconds = 2;
const writesPerSecond = 500;
const readsPerSecond = 2_000;
const runMilliseconds = 2_500;
const claimRates = [21, 105, 210, 2_100];
const claimSettings = { shards: 4, windowMilliseconds: 300_000, appendIntervalMilliseconds: 20 };
const takeoverClaimsPerSlot = [1, 10];
const fillConcurrency = 64;
const microsecondsPerMillisecond = 1_000;

/** Claims one key and returns if the claim was granted. */
type ClaimFunction = (claim: Claim) => Promise<boolean>;

const generator = xoroshiro128plus(seed);
const shardHash = await ShardHash.create();
let createdClaims = 0;

function getRandom(): number {
    return (generator.next() >>> 0) / 2 ** 32;
}

function createClaim(issuedAt = Date.now()): Claim {
    createdClaims += 1;
    const random = Uint8Array.from({ length: 16 }, () => Math.floor(getRandom() * 256));
    return {
        key: createClaimKey("north", v7({ msecs: issuedAt, random })),
        bodyHash: Buffer.from(random).toString("hex").repeat(2),
        claimant: `claimant-0123456789abcdef-${createdClaims}`,
        nodeId: "node-10.0.0.1",
    };
}

function createOwner(store: PlatformStore): ClaimOwner {
    return ClaimOwner.create({
        ...claimSettings,
        store,
        clock: systemClock,
        log: { write: () => undefined },
        ownerId: `owner-${getRandom()}`,
        getShardOfKey: (key, shards) => shardHash.getShardOfKey(key, shards),
        giveUpMilliseconds: 2_000,
    });
}

/** Creates a claim function that creates the key in the store with one write per request. */
function createWritePerRequest(store: PlatformStore): ClaimFunction {
    return async claim => {
        const outcome = await store.compareAndSwap(`foxlead/claimed/${claim.key}`, 0, JSON.stringify(claim));
        return outcome.ok && outcome.val.swapped;
    };
}

/** Creates a claim function that keeps the claimed keys in memory only. */
function createMemoryOnly(): ClaimFunction {
    const claimants = new Map<string, string>();
    return claim => {
        const isFree = !claimants.has(claim.key);
        if (isFree) {
            claimants.set(claim.key, claim.claimant);
        }
        return Promise.resolve(isFree);
    };
}

/** Creates a claim function that uses the claim log, and warms it up. */
async function createClaimLog(store: PlatformStore): Promise<ClaimFunction> {
    const owner = createOwner(store);
    const claimKey = async (claim: Claim): Promise<boolean> => {
        const shard = shardHash.getShardOfKey(claim.key, claimSettings.shards);
        const [verdict] = await owner.claim(shard, [claim]);
        return verdict?.outcome === ClaimOutcome.Granted;
    };
    await Promise.all(Array.from({ length: 64 }, () => claimKey(createClaim())));
    return claimKey;
}

/**
 * Sends claims as a Poisson process. The latency of a claim is measured from the time it was due.
 * @param claimKey - Claims one key.
 * @param rate - Claims per second.
 */
async function sendClaims(
    claimKey: ClaimFunction,
    rate: number,
): Promise<{ latencies: Histogram; granted: number; sent: number; }> {
    const latencies = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 60_000_000,
        numberOfSignificantValueDigits: 3,
    });
    const pending: Promise<void>[] = [];
    const startedAt = performance.now();
    let granted = 0;
    let dueAt = startedAt;
    async function runClaim(claimDueAt: number): Promise<void> {
        if (await claimKey(createClaim())) {
            granted += 1;
            latencies.recordValue(
                Math.max(1, Math.round((performance.now() - claimDueAt) * microsecondsPerMillisecond)),
            );
        }
    }
    while (dueAt < startedAt + runMilliseconds) {
        const delayMilliseconds = dueAt - performance.now();
        if (delayMilliseconds > 0) {
            await new Promise(resolve => setTimeout(resolve, delayMilliseconds));
        }
        pending.push(runClaim(dueAt));
        dueAt += -Math.log(1 - getRandom()) * 1_000 / rate;
    }
    await Promise.all(pending);
    return { latencies, granted, sent: pending.length };
}

async function measureRates(
    name: string,
    createClaimFunction: (store: PlatformStore) => ClaimFunction | Promise<ClaimFunction>,
): Promise<void> {
    for (const rate of claimRates) {
        const standin = await PlatformStandin.create({ port: 0, writesPerSecond, readsPerSecond });
        const store = EtcdStore.create({ address: standin.getAddress(), timeoutMilliseconds: 1_000 });
        standin.setFaults({ delayMilliseconds: storeDelayMilliseconds });
        const claimKey = await createClaimFunction(store);
        const countsBefore = standin.getCounts();
        const { latencies, granted, sent } = await sendClaims(claimKey, rate);
        const countsAfter = standin.getCounts();
        const seconds = runMilliseconds / 1_000;
        const median = latencies.getValueAtPercentile(50) / microsecondsPerMillisecond;
        const percentile99 = latencies.getValueAtPercentile(99) / microsecondsPerMillisecond;
        console.log(
            `| ${name} | ${rate} | ${((countsAfter.transaction - countsBefore.transaction) / seconds).toFixed(0)}`
                + ` | ${median.toFixed(2)} | ${percentile99.toFixed(2)} | ${granted} of ${sent} |`,
        );
        await store.close();
        await standin.close();
    }
}

/** Collects garbage and gets the size of the heap in use, in bytes. */
function getHeapBytes(): number {
    setFlagsFromString("--expose-gc");
    (runInNewContext("gc") as () => void)();
    return process.memoryUsage().heapUsed;
}

/** Fills every slot of shard 0 with batches of a previous owner. */
async function fillRing(store: PlatformStore, ringSize: number, claimsPerSlot: number): Promise<void> {
    const now = Date.now();
    let next = 0;
    async function fill(): Promise<void> {
        while (next < ringSize) {
            const number = next++;
            const claims = Array.from({ length: claimsPerSlot }, () => createClaim(now));
            const batch = { number, batchId: `earlier-${number}`, writtenAt: now, horizon: -1, claims };
            await store.compareAndSwap(claimStoreKeys.getSlotKey(0, number), 0, JSON.stringify(batch));
        }
    }
    await Promise.all(Array.from({ length: fillConcurrency }, fill));
}

/** Measures how long a new owner takes to load a shard whose ring a previous owner has filled. */
async function measureTakeover(claimsPerSlot: number): Promise<void> {
    const standin = await PlatformStandin.create({ port: 0 });
    const store = EtcdStore.create({ address: standin.getAddress(), timeoutMilliseconds: 10_000 });
    const ringSize = getRingSize(claimSettings.windowMilliseconds, claimSettings.appendIntervalMilliseconds);
    await fillRing(store, ringSize, claimsPerSlot);
    standin.setFaults({ delayMilliseconds: storeDelayMilliseconds });
    const countsBefore = standin.getCounts();
    const heapBytesBefore = getHeapBytes();
    const startedAt = performance.now();
    const owner = ClaimOwner.create({
        ...claimSettings,
        shards: 1,
        store,
        clock: systemClock,
        // 1301 is the number of the event that reports that a shard was loaded.
        log: { write: event => event.number === 1301 ? onLoaded() : undefined },
        ownerId: "successor",
        getShardOfKey: () => 0,
        giveUpMilliseconds: 60_000,
    });
    let onLoaded = (): void => undefined;
    const loaded = new Promise<void>(resolve => onLoaded = resolve);
    owner.loadShard(0);
    await loaded;
    const takeoverMilliseconds = performance.now() - startedAt;
    const reads = standin.getCounts().range - countsBefore.range;
    const heapMebibytes = (getHeapBytes() - heapBytesBefore) / 2 ** 20;
    console.log(
        `| ${ringSize} | ${claimsPerSlot} | ${takeoverMilliseconds.toFixed(0)} | ${reads} | ${
            heapMebibytes.toFixed(0)
        } |`,
    );
    owner.close();
    await store.close();
    await standin.close();
}

console.log(
    "| Method | Claims/s | Store writes/s | Median ms | 99th percentile ms | Granted |\n| --- | --- | --- | --- | --- | --- |",
);
await measureRates("one write per request", createWritePerRequest);
await measureRates("memory only", createMemoryOnly);
await measureRates("claim log", createClaimLog);
console.log("\n| Slots | Claims per slot | Takeover ms | Reads | Heap MiB |\n| --- | --- | --- | --- | --- |");
for (const claimsPerSlot of takeoverClaimsPerSlot) {
    await measureTakeover(claimsPerSlot);
}
