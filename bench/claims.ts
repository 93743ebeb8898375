/**
 * Measures three ways to keep a request from running twice: one store write a request, a map in memory, and the
 * claim log. Prints store writes a second, the latency that a claim adds, and the time of a takeover of a full ring.
 * The platform is the stand-in in this process, slowed down to 2 ms a call and limited to 500 writes and 2,000 reads
 * a second.
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

/** Claims one key; true where it was granted. */
type ClaimOne = (claim: Claim) => Promise<boolean>;

const generator = xoroshiro128plus(seed);
const shardHash = await ShardHash.create();
let serial = 0;

function getRandom(): number {
    return (generator.next() >>> 0) / 2 ** 32;
}

function createClaim(issuedAt = Date.now()): Claim {
    serial += 1;
    const random = Uint8Array.from({ length: 16 }, () => Math.floor(getRandom() * 256));
    return {
        key: createClaimKey("north", v7({ msecs: issuedAt, random })),
        bodyHash: Buffer.from(random).toString("hex").repeat(2),
        claimant: `claimant-0123456789abcdef-${serial}`,
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

/** One store write a request: the key itself is created. */
function createWritePerRequest(store: PlatformStore): ClaimOne {
    return async claim => {
        const outcome = await store.compareAndSwap(`foxlead/claimed/${claim.key}`, 0, JSON.stringify(claim));
        return outcome.ok && outcome.val.swapped;
    };
}

function createMemoryOnly(): ClaimOne {
    const claimants = new Map<string, string>();
    return claim => {
        const isFree = !claimants.has(claim.key);
        if (isFree) {
            claimants.set(claim.key, claim.claimant);
        }
        return Promise.resolve(isFree);
    };
}

async function createClaimLog(store: PlatformStore): Promise<ClaimOne> {
    const owner = createOwner(store);
    const claimOne = async (claim: Claim): Promise<boolean> => {
        const shard = shardHash.getShardOfKey(claim.key, claimSettings.shards);
        const [verdict] = await owner.claim(shard, [claim]);
        return verdict?.outcome === ClaimOutcome.Granted;
    };
    await Promise.all(Array.from({ length: 64 }, () => claimOne(createClaim())));
    return claimOne;
}

/** Offers claims at a rate, as independent arrivals; the latency counts from the time the claim was due. */
async function offer(
    claimOne: ClaimOne,
    rate: number,
): Promise<{ latencies: Histogram; granted: number; all: number; }> {
    const latencies = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 60_000_000,
        numberOfSignificantValueDigits: 3,
    });
    const running: Promise<void>[] = [];
    const startedAt = performance.now();
    let granted = 0;
    let dueAt = startedAt;
    async function run(claimDueAt: number): Promise<void> {
        if (await claimOne(createClaim())) {
            granted += 1;
            latencies.recordValue(
                Math.max(1, Math.round((performance.now() - claimDueAt) * microsecondsPerMillisecond)),
            );
        }
    }
    while (dueAt < startedAt + runMilliseconds) {
        const wait = dueAt - performance.now();
        if (wait > 0) {
            await new Promise(resolve => setTimeout(resolve, wait));
        }
        running.push(run(dueAt));
        dueAt += -Math.log(1 - getRandom()) * 1_000 / rate;
    }
    await Promise.all(running);
    return { latencies, granted, all: running.length };
}

async function measureRates(
    name: string,
    createWay: (store: PlatformStore) => ClaimOne | Promise<ClaimOne>,
): Promise<void> {
    for (const rate of claimRates) {
        const standin = await PlatformStandin.create({ port: 0, writesPerSecond, readsPerSecond });
        const store = EtcdStore.create({ address: standin.getAddress(), timeoutMilliseconds: 1_000 });
        standin.setFaults({ delayMilliseconds: storeDelayMilliseconds });
        const claimOne = await createWay(store);
        const before = standin.getCounts();
        const { latencies, granted, all } = await offer(claimOne, rate);
        const after = standin.getCounts();
        const seconds = runMilliseconds / 1_000;
        const median = latencies.getValueAtPercentile(50) / microsecondsPerMillisecond;
        const tail = latencies.getValueAtPercentile(99) / microsecondsPerMillisecond;
        console.log(
            `| ${name} | ${rate} | ${((after.transaction - before.transaction) / seconds).toFixed(0)}`
                + ` | ${median.toFixed(2)} | ${tail.toFixed(2)} | ${granted} of ${all} |`,
        );
        await store.close();
        await standin.close();
    }
}

/** Gets the bytes of the objects that are still in use. */
function getHeapBytes(): number {
    setFlagsFromString("--expose-gc");
    (runInNewContext("gc") as () => void)();
    return process.memoryUsage().heapUsed;
}

/** Fills every slot of one shard as an earlier owner would have. */
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

/** Times the first verdict of an owner that has read nothing: a key that an earlier owner's claimant has. */
async function measureTakeover(claimsPerSlot: number): Promise<void> {
    const standin = await PlatformStandin.create({ port: 0 });
    const store = EtcdStore.create({ address: standin.getAddress(), timeoutMilliseconds: 10_000 });
    const ringSize = getRingSize(claimSettings.windowMilliseconds, claimSettings.appendIntervalMilliseconds);
    await fillRing(store, ringSize, claimsPerSlot);
    standin.setFaults({ delayMilliseconds: storeDelayMilliseconds });
    const before = standin.getCounts();
    const memoryBefore = getHeapBytes();
    const startedAt = performance.now();
    const owner = ClaimOwner.create({
        ...claimSettings,
        shards: 1,
        store,
        clock: systemClock,
        log: { write: event => event.number === 1301 ? loaded() : undefined },
        ownerId: "successor",
        getShardOfKey: () => 0,
        giveUpMilliseconds: 60_000,
    });
    let loaded = (): void => undefined;
    const isLoaded = new Promise<void>(resolve => loaded = resolve);
    owner.loadShard(0);
    await isLoaded;
    const took = performance.now() - startedAt;
    const reads = standin.getCounts().range - before.range;
    const megabytes = (getHeapBytes() - memoryBefore) / 2 ** 20;
    console.log(`| ${ringSize} | ${claimsPerSlot} | ${took.toFixed(0)} | ${reads} | ${megabytes.toFixed(0)} |`);
    owner.close();
    await store.close();
    await standin.close();
}

console.log(
    "| Way | Claims/s | Store writes/s | Median ms | 99th percentile ms | Granted |\n| --- | --- | --- | --- | --- | --- |",
);
await measureRates("one write a request", createWritePerRequest);
await measureRates("memory only", createMemoryOnly);
await measureRates("claim log", createClaimLog);
console.log("\n| Slots | Claims a slot | Takeover ms | Reads | Heap MiB |\n| --- | --- | --- | --- | --- |");
for (const claimsPerSlot of takeoverClaimsPerSlot) {
    await measureTakeover(claimsPerSlot);
}
