import { FencedLease } from "../leases/fencedLease.ts";
import type { OwnersCache } from "../membership/ownersCache.ts";
import type { LeaseAction } from "../placement/leaseAction.ts";
import type { ChangeSource } from "../replica/changeSource.ts";
import { RecordFollower } from "../replica/recordFollower.ts";
import { RecordSection } from "../replica/recordSection.ts";
import type { StoreRecord } from "../replica/storeRecord.ts";
import { CopyProof } from "./copyProof.ts";
import type { NodeTable } from "./nodeTable.ts";
import type { RouterNodeOptions } from "./routerNodeOptions.ts";
import type { StoreCopyState } from "./storeCopyState.ts";
import { StoreWatchController } from "./storeWatchController.ts";

/** A part of the node that uses the records of a section. */
interface RecordHandler {
    applyRecord(record: StoreRecord, source: ChangeSource): void;
    isOutdated(record: StoreRecord, known: StoreRecord): boolean;
}

/** Options of a {@link StoreReplica}. */
interface StoreReplicaOptions {
    node: Pick<RouterNodeOptions, "nodeId" | "settings" | "clock" | "random" | "log" | "metrics" | "store" | "keys">;
    nodes: NodeTable;
    /** Assigns duties to nodes. */
    owners: OwnersCache;
    configurations: RecordHandler;
    endpoints: RecordHandler;
    /** Whether this node is giving up its duties. */
    isDraining(): boolean;
    /** Decides what to do with the placement lease. See {@link StoreWatchController}. */
    getLeaseAction(rank: number): LeaseAction;
    /** Called when the placement may have work. */
    wakePlacement(): void;
    /** Passes a change from the store on to peers soon. */
    propagateUpdate(): void;
    /** Tells the nodes from which all others get updates of changes that waiting calls have missed. */
    announceMissedChanges(): void;
}

/** Time to live of the lease. It is renewed three times within it, and a lost holder is replaced after it. */
const leaseTtlMilliseconds = 3_000;
/** Endpoints refuse orders with an older fencing number, so a successor does not wait for orders in flight. */
const longestOrderMilliseconds = 300;
const secondMilliseconds = 1_000;

/** A node's copy of the platform's store, with what keeps it current, and the lease by which one node places layers. */
export class StoreReplica {
    readonly sections: readonly RecordSection[];
    readonly proof: CopyProof;
    readonly lease: FencedLease;
    readonly watch: StoreWatchController;
    private readonly options: StoreReplicaOptions;
    private readonly configurations: RecordSection;
    private readonly configurationFollower: RecordFollower;

    private constructor(options: StoreReplicaOptions) {
        this.options = options;
        const { node: { nodeId, settings, clock, random, log, metrics, store, keys }, wakePlacement } = options;
        this.configurations = this.createSection("configuration", options.configurations, wakePlacement);
        const endpoints = this.createSection("endpoints", options.endpoints, () => undefined);
        this.sections = [this.configurations, endpoints];
        this.configurationFollower = this.createFollower(this.configurations, keys.configuration);
        const followers = [this.configurationFollower, this.createFollower(endpoints, keys.endpointPrefix)];
        const { configurationMilliseconds, seeds, peerListener } = settings;
        this.proof = CopyProof.create({ clock, followers, configurationMilliseconds });
        this.lease = FencedLease.create({
            store,
            clock,
            random,
            log,
            key: keys.placementLease,
            holder: nodeId,
            timeToLiveMilliseconds: leaseTtlMilliseconds,
            longestOrderMilliseconds,
            getStoreEra: () => store.getEra(),
            onAcquired: wakePlacement,
        });
        this.watch = StoreWatchController.create({
            nodeId,
            clock,
            nodes: options.nodes,
            owners: options.owners,
            followers,
            proof: this.proof,
            lease: this.lease,
            isDraining: options.isDraining,
            callStore: () => store.isAnswering(),
            configurationMilliseconds,
            isSeed: seeds.length === 0 || seeds.includes(peerListener),
            getLeaseAction: options.getLeaseAction,
            onSelected: wakePlacement,
            getLag: () => clock.getLag(),
            onCopyAge: milliseconds => metrics.storeCopyAgeSeconds.set(milliseconds / secondMilliseconds),
            log,
        });
    }

    /** Creates a replica, which does nothing before its {@link watch} is started. */
    static create(options: StoreReplicaOptions): StoreReplica {
        return new StoreReplica(options);
    }

    /** Gets how far and how surely the copy of the configuration is known to be current. */
    getState(): StoreCopyState {
        return { copyAgeMilliseconds: this.proof.getAge(), copyRevision: this.configurations.getFrontier() };
    }

    /** Checks if the copy of the configuration is proven to have all changes that must be in force. */
    isConfigurationCurrent(): boolean {
        return this.proof.isCurrent([this.configurationFollower]);
    }

    private createSection(name: string, handler: RecordHandler, onChange: () => void): RecordSection {
        return RecordSection.create({
            name,
            onChange: (record, source) => {
                handler.applyRecord(record, source);
                onChange();
                // Changes from a peer are passed on once all of them are applied.
                if (source === "store") {
                    this.options.propagateUpdate();
                }
            },
            isOutdated: (record, known) => handler.isOutdated(record, known),
        });
    }

    private createFollower(section: RecordSection, prefix: string): RecordFollower {
        const { store, clock, random, log } = this.options.node;
        return RecordFollower.create({
            store,
            section,
            prefix,
            isStoreAnswering: () => this.watch.isProbeAnswered(),
            callStore: () => store.isAnswering(),
            onMissedChanges: () => this.announceMissedChanges(),
            clock,
            random,
            log,
        });
    }

    /** Only watchers announce, since all other nodes may find the same change at the same moment. */
    private announceMissedChanges(): void {
        if (this.watch.isStoreWatcher()) {
            this.options.announceMissedChanges();
        }
    }
}
