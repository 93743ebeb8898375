import { createCountingStore } from "../../src/process/platform/createCountingStore.ts";
import { EtcdStore } from "../../src/process/platform/etcdStore.ts";
import type { PlatformStore } from "../../src/process/platform/platformStore.ts";
import { createBenchClaim } from "./createBenchClaim.ts";
import { createBenchClaimOwner } from "./createBenchClaimOwner.ts";
import { fitSlope } from "./fitSlope.ts";
import { measureProcessorTime } from "./measureProcessorTime.ts";
import type { Slope } from "./slope.ts";
import { startStandin } from "./startStandin.ts";

const role = "claim owner";
const runMilliseconds = 500;
const repetitions = 2;
const tickMilliseconds = 4;
const defaultAppendIntervalMilliseconds = 20;
let nextShard = 0;

/** The load of one owner. */
interface OwnerLoad {
    shards: number;
    /** Claims per second for each shard. */
    rate: number;
    appendIntervalMilliseconds: number;
}

/** Results of one run of an owner. */
interface OwnerRun {
    writesPerSecond: number;
    /** Processor time in milliseconds per second, including that of creating the claims. */
    processor: number;
}

/** Measures the owner of claim shards with a platform stand-in in another process. */
export async function measureClaims(): Promise<Slope[]> {
    const standin = await startStandin("standins/platform/main.ts");
    const store = EtcdStore.create({ address: standin.address, timeoutMilliseconds: 10_000 });
    try {
        await runOwner(store, {
            shards: 1,
            rate: 2_000,
            appendIntervalMilliseconds: defaultAppendIntervalMilliseconds,
        });
        return [...await measureRates(store), await measureShards(store), await measureIntervals(store)];
    }
    finally {
        await store.close();
        await standin.stop();
    }
}

async function measureRates(store: PlatformStore): Promise<Slope[]> {
    const processor = [];
    const writes = [];
    for (const rate of [250, 500, 1_000, 2_000]) {
        const runs = [];
        for (let repetition = 0; repetition < repetitions; repetition++) {
            runs.push(
                await runOwner(store, {
                    shards: 1,
                    rate,
                    appendIntervalMilliseconds: defaultAppendIntervalMilliseconds,
                }),
            );
        }
        processor.push({ x: rate, y: Math.min(...runs.map(run => run.processor)) });
        writes.push({ x: rate, y: Math.max(...runs.map(run => run.writesPerSecond)) });
    }
    const variable = "claim/s";
    const ofOneShard = "of one shard";
    return [
        fitSlope(
            { id: "claims.processor", role, quantity: `processor ${ofOneShard}`, unit: "ms/s", variable },
            processor,
        ),
        fitSlope(
            { id: "claims.writesByRate", role, quantity: `store writes ${ofOneShard}`, unit: "1/s", variable },
            writes,
        ),
    ];
}

async function measureShards(store: PlatformStore): Promise<Slope> {
    const points = [];
    for (const shards of [1, 2, 4, 8]) {
        const load = { shards, rate: 250, appendIntervalMilliseconds: defaultAppendIntervalMilliseconds };
        points.push({ x: shards, y: (await runOwner(store, load)).writesPerSecond });
    }
    const quantity = "store writes at 250 claims/s a shard";
    return fitSlope({ id: "claims.writesByShards", role, quantity, unit: "1/s", variable: "shard" }, points);
}

async function measureIntervals(store: PlatformStore): Promise<Slope> {
    const points = [];
    for (const appendIntervalMilliseconds of [20, 50, 200]) {
        const run = await runOwner(store, { shards: 1, rate: 500, appendIntervalMilliseconds });
        points.push({ x: 1_000 / appendIntervalMilliseconds, y: run.writesPerSecond });
    }
    const description = { id: "claims.writesByInterval", role, quantity: "store writes of one shard", unit: "1/s" };
    return fitSlope({ ...description, variable: "append interval in a second" }, points);
}

/** Sends claims to one owner at a constant rate, distributed round-robin over its shards. */
async function runOwner(store: PlatformStore, load: OwnerLoad): Promise<OwnerRun> {
    const { shards, rate, appendIntervalMilliseconds } = load;
    let writes = 0;
    const countingStore = createCountingStore(store, call => writes += call === "compareAndSwap" ? 1 : 0);
    const owner = createBenchClaimOwner({ store: countingStore, appendIntervalMilliseconds });
    const firstShard = nextShard;
    nextShard += shards;
    let nextClaim = 0;
    const sendClaims = (count: number) =>
        Array.from({ length: count }, () => {
            const shard = firstShard + nextClaim++ % shards;
            return owner.claim(shard, [createBenchClaim(shard)]);
        });
    await Promise.all(sendClaims(shards));
    writes = 0;
    const startedAt = performance.now();
    const spent = await measureProcessorTime(async () => {
        const pending: Promise<unknown>[] = [];
        let sent = 0;
        for (let elapsed = 0; elapsed < runMilliseconds; elapsed = performance.now() - startedAt) {
            const due = Math.floor(elapsed / 1_000 * rate * shards);
            pending.push(...sendClaims(due - sent));
            sent = due;
            await new Promise(resolve => setTimeout(resolve, tickMilliseconds));
        }
        await Promise.all(pending);
    });
    const seconds = (performance.now() - startedAt) / 1_000;
    owner.close();
    return { writesPerSecond: writes / seconds, processor: spent / 1_000 / seconds };
}
