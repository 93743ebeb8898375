import type { Clock } from "../clock.ts";
import type { EventLog } from "../logging/eventLog.ts";
import type { PlatformStore } from "../platform/platformStore.ts";
import type { Claim } from "./claim.ts";
import { ClaimOutcome } from "./claimOutcome.ts";
import { ClaimShard } from "./claimShard.ts";
import { ClaimShardRunner } from "./claimShardRunner.ts";
import { claimTimes } from "./claimTimes.ts";
import type { ClaimVerdict } from "./claimVerdict.ts";
import { getRingSize } from "./getRingSize.ts";
import { GrantLedger } from "./grantLedger.ts";

const defaultPageSize = 500;

/** Settings of a {@link ClaimOwner}. */
export interface ClaimOwnerOptions {
    store: PlatformStore;
    clock: Clock;
    log: EventLog;
    /** Unique per start of a process, such as a random UUID. */
    ownerId: string;
    /** Number of shards; the same on all nodes. */
    shards: number;
    /** Gets the shard of a key, see `ShardHash`. */
    getShardOfKey(key: string, shards: number): number;
    /** How long a key counts after its issue time, in milliseconds; the same on all nodes. */
    windowMilliseconds: number;
    /** Shortest time between two appends of one shard, in milliseconds; the same on all nodes. */
    appendIntervalMilliseconds: number;
    /** Longest wait of a claim for its verdict, in milliseconds. */
    giveUpMilliseconds: number;
    /** Slots of a shard's ring; worked out from the window and the append interval where undefined. */
    ringSize?: number;
    /** Slots that one call reads, 500 where undefined; their values together have to fit an answer. */
    pageSize?: number;
    /** Check of the grants; the process's own where undefined. */
    grants?: GrantLedger;
}

/**
 * Claims idempotency keys in the claim log, so that a request that may not be repeated runs at most once over
 * all nodes. It is meant for the node that owns a shard; that another node does the same at the same time costs
 * speed only. Store calls have to end by themselves: a platform adapter needs a timeout.
 */
export class ClaimOwner {
    private readonly options: ClaimOwnerOptions;
    private readonly grants: GrantLedger;
    private readonly runners = new Map<number, ClaimShardRunner>();

    private constructor(options: ClaimOwnerOptions) {
        const { futureToleranceMilliseconds, clockMarginMilliseconds } = claimTimes;
        const rememberMilliseconds = options.windowMilliseconds + futureToleranceMilliseconds + clockMarginMilliseconds;
        this.options = options;
        this.grants = options.grants ?? GrantLedger.create({ rememberMilliseconds });
    }

    /** Creates an owner that has read no shard yet. */
    static create(options: ClaimOwnerOptions): ClaimOwner {
        return new ClaimOwner(options);
    }

    /** Reads a shard that this node has come to own, before the first claim for it arrives. */
    loadShard(shard: number): void {
        this.getRunner(shard).load();
    }

    /** Reads a shard, or reads on where it was read before: other owners may have appended meanwhile. */
    refreshShard(shard: number): void {
        this.getRunner(shard).refresh();
    }

    /** Forgets a shard that this node does not own any more. */
    releaseShard(shard: number): void {
        this.runners.get(shard)?.close();
        this.runners.delete(shard);
    }

    /** Forgets all shards. */
    close(): void {
        for (const shard of [...this.runners.keys()]) {
            this.releaseShard(shard);
        }
    }

    /**
     * Claims keys; one verdict each, in the order of the items. Rejects with an `InvariantError` where a
     * check of this program failed: no claim of the call is granted then.
     * @param shard - Shard of all the keys.
     * @param items - Claims to decide.
     */
    claim(shard: number, items: readonly Claim[]): Promise<ClaimVerdict[]> {
        return Promise.all(items.map(item => this.claimItem(shard, item)));
    }

    private claimItem(shard: number, item: Claim): Promise<ClaimVerdict> {
        const { shards, getShardOfKey } = this.options;
        if (getShardOfKey(item.key, shards) !== shard) {
            return Promise.resolve({
                outcome: ClaimOutcome.NotOwner,
                message: `The key does not belong to shard ${shard} of ${shards}.`
                    + " Wait until both nodes have the same configuration in force, then ask the owner again.",
            });
        }
        return this.getRunner(shard).claim(item);
    }

    private getRunner(shard: number): ClaimShardRunner {
        const known = this.runners.get(shard);
        if (known !== undefined && !known.hasEnded()) {
            return known;
        }
        const runner = this.createRunner(shard);
        this.runners.set(shard, runner);
        return runner;
    }

    private createRunner(shard: number): ClaimShardRunner {
        const { store, clock, log, ownerId, windowMilliseconds, appendIntervalMilliseconds, giveUpMilliseconds } =
            this.options;
        const ringSize = this.options.ringSize ?? getRingSize(windowMilliseconds, appendIntervalMilliseconds);
        return ClaimShardRunner.create({
            store,
            clock,
            log,
            grants: this.grants,
            shard: ClaimShard.create({
                shard,
                ownerId,
                ringSize,
                windowMilliseconds,
                appendIntervalMilliseconds,
                giveUpMilliseconds,
                pageSize: this.options.pageSize ?? defaultPageSize,
            }),
        });
    }
}
