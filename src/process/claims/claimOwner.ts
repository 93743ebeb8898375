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

/** Options of a {@link ClaimOwner}. */
export interface ClaimOwnerOptions {
    store: PlatformStore;
    clock: Clock;
    log: EventLog;
    /** Unique per process start, such as a random UUID. */
    ownerId: string;
    /** Number of shards; the same on all nodes. */
    shards: number;
    /** Gets the shard of a key, see `ShardHash`. */
    getShardOfKey(key: string, shards: number): number;
    /** How long a key is valid after its issue time, in milliseconds; the same on all nodes. */
    windowMilliseconds: number;
    /** Shortest time between two appends to a shard, in milliseconds; the same on all nodes. */
    appendIntervalMilliseconds: number;
    /** Longest time that a claim waits for its verdict, in milliseconds. */
    giveUpMilliseconds: number;
    /** Slots of a shard's ring. Computed from the window and the append interval by default. */
    ringSize?: number;
    /** Slots read by one store call. Default 500. Their values must fit into one response. */
    pageSize?: number;
    /** Ledger that checks the grants. Each owner creates its own by default. */
    grants?: GrantLedger;
}

/**
 * Claims idempotency keys in the claim log, so that a request that must not be repeated runs at most once across all
 * nodes. Only the node that owns a shard should use it. Two owners at the same time are safe but slower.
 * Store calls must end by themselves, so a platform adapter needs a timeout.
 */
export class ClaimOwner {
    private readonly options: ClaimOwnerOptions;
    private readonly grants: GrantLedger;
    private readonly runners = new Map<number, ClaimShardRunner>();
    private isClosed = false;

    private constructor(options: ClaimOwnerOptions) {
        const { futureToleranceMilliseconds, clockMarginMilliseconds } = claimTimes;
        const retentionMilliseconds = options.windowMilliseconds + futureToleranceMilliseconds
            + clockMarginMilliseconds;
        this.options = options;
        this.grants = options.grants ?? GrantLedger.create({ retentionMilliseconds });
    }

    /** Creates an owner that has not read any shard yet. */
    static create(options: ClaimOwnerOptions): ClaimOwner {
        return new ClaimOwner(options);
    }

    /** Reads a shard that this node has started to own, before its first claim arrives. */
    loadShard(shard: number): void {
        this.getRunner(shard)?.load();
    }

    /** Reads a shard, or only its new slots if it was read before. Other owners may have appended in the meantime. */
    refreshShard(shard: number): void {
        this.getRunner(shard)?.refresh();
    }

    /** Discards the state of a shard that this node no longer owns. */
    releaseShard(shard: number): void {
        this.runners.get(shard)?.close();
        this.runners.delete(shard);
    }

    /** Releases all shards, and owns none from then on. Peers may still change the membership while a node stops. */
    close(): void {
        this.isClosed = true;
        for (const shard of [...this.runners.keys()]) {
            this.releaseShard(shard);
        }
    }

    /**
     * Claims keys. Gets one verdict per item, in the same order. Rejects with an `InvariantError` if an internal check
     * fails, in which case no claim of the call is granted.
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
                    + " Wait until both nodes use the same configuration, then ask the owner again.",
            });
        }
        return this.getRunner(shard)?.claim(item) ?? Promise.resolve({
            outcome: ClaimOutcome.NotOwner,
            message: "This node is shutting down. Ask the next owner of the claim shard.",
        });
    }

    /** Gets or creates the runner of a shard; undefined after {@link close}. */
    private getRunner(shard: number): ClaimShardRunner | undefined {
        if (this.isClosed) {
            return undefined;
        }
        const existing = this.runners.get(shard);
        if (existing !== undefined && !existing.hasEnded()) {
            return existing;
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
