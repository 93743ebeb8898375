/** Two processes claim the same key; one is granted it, the other learns by whom it was taken. */
import { v7 as createUuid } from "uuid";
import { ClaimOutcome, ClaimOwner, createClaimKey, ShardHash, systemClock } from "../../../src/index.ts";
import { createInMemoryStore } from "./inMemoryStore.ts";

const shards = 4;
const store = createInMemoryStore();
const shardHash = await ShardHash.create();
const createOwner = (ownerId: string) => {
    return ClaimOwner.create({
        store,
        clock: systemClock,
        log: { write: () => undefined },
        ownerId,
        shards,
        getShardOfKey: (key, count) => shardHash.getShardOfKey(key, count),
        windowMilliseconds: 60_000,
        appendIntervalMilliseconds: 100,
        giveUpMilliseconds: 2_000,
    });
};

const key = createClaimKey("families", createUuid());
const shard = shardHash.getShardOfKey(key, shards);
for (const name of ["first", "second"]) {
    const owner = createOwner(name);
    const [verdict] = await owner.claim(shard, [{ key, bodyHash: "hash", claimant: `request-${name}`, nodeId: name }]);
    const first = verdict?.outcome === ClaimOutcome.Taken ? ` by ${verdict.claimant}` : "";
    console.log(`${name}: ${verdict?.outcome}${first}`);
    owner.close();
}
