import type { Clock, TimerHandle } from "../clock.ts";
import type { FencedLease } from "../leases/fencedLease.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import type { RendezvousOwners } from "../membership/rendezvousOwners.ts";
import type { LeaseAction } from "../placement/leaseAction.ts";
import type { RecordFollower } from "../replica/recordFollower.ts";
import type { CopyProof } from "./copyProof.ts";
import { getConfirmationFraction } from "./getConfirmationFraction.ts";
import { isStoreWatcher } from "./isStoreWatcher.ts";
import type { KnownNode } from "./knownNode.ts";
import { LeaseReviewer } from "./leaseReviewer.ts";
import { listStoreWatchers, type StoreWatchers } from "./listStoreWatchers.ts";
import type { NodeTable } from "./nodeTable.ts";
import { StoreProbe } from "./storeProbe.ts";

/** Options of a {@link StoreWatchController}. */
interface StoreWatchControllerOptions {
    nodeId: string;
    clock: Clock;
    nodes: NodeTable;
    /** Assigns duties to nodes. */
    owners: Pick<RendezvousOwners, "getOwners">;
    followers: readonly RecordFollower[];
    /** Knows how current the copy of the followers' sections is. */
    proof: Pick<CopyProof, "getAge">;
    /** Lease for placing layers. Only nodes that watch the store try to acquire it. */
    lease: Pick<FencedLease, "isHeld" | "isLastHolder" | "start" | "pause" | "keep" | "refresh" | "rest">;
    /** Whether this node is giving up its duties. */
    isDraining(): boolean;
    /** Makes the cheapest call to the store; returns false if it is not answered soon. */
    callStore(): Promise<boolean>;
    /** Maximum time for a configuration to come into force on every node, in milliseconds. */
    configurationMilliseconds: number;
    /** Whether this node is a seed in the settings of the other nodes. */
    isSeed: boolean;
    /**
     * Decides what to do with the lease while the store answers this node.
     * @param rank - Number of nodes that should acquire the lease before this one.
     */
    getLeaseAction(rank: number): LeaseAction;
    /** Called when this node begins to watch the store, so that it may acquire the lease. */
    onSelected(): void;
    /** Gets the lag of this node's event loop in milliseconds. */
    getLag(): number;
    /** Called regularly with the time since this node's copy was last known to be current, in milliseconds. */
    onCopyAge(milliseconds: number): void;
    log: EventLog;
}

/** With fewer other nodes than this, all watch the store: no node depends on another then, and the calls cost little. */
const independentNodeLimit = 12;
/** Interval at which a node re-evaluates whether it watches the store. */
const reviewIntervalMilliseconds = 250;
/** A node that has heard from no other node after this time assumes that it is the only one. */
const soleNodeMilliseconds = 1_500;
/** A node that knows few others assumes only after this time that there are few. */
const discoveryMilliseconds = 1_500;
/** Number of probes within the configuration time. */
const probesPerConfigurationTime = 5;

/**
 * Decides from the live nodes whether this node watches the store or gets changes from other nodes, and when it proves by calls that its
 * copy is current. Tracks when the store last failed.
 */
export class StoreWatchController {
    private readonly options: StoreWatchControllerOptions;
    private readonly probe: StoreProbe;
    private readonly leaseReviewer: LeaseReviewer;
    private readonly startedAt: number;
    private timer: TimerHandle | undefined;
    /** Time of the last store failure that peers reported. */
    private lastPeerFailure = -Infinity;
    private isSelectedWatcher = false;
    /** Age of the copy at which this node confirms it by a call, in milliseconds. */
    private confirmationAge = Infinity;
    /** Whether there are so many nodes that only few of them watch the store. */
    private hasManyNodes = false;
    /** Whether the log says that this node's copy may lack changes. */
    private isLoggedAsUnconfirmed = false;

    private constructor(options: StoreWatchControllerOptions) {
        this.options = options;
        const { clock, callStore, configurationMilliseconds } = options;
        this.probe = StoreProbe.create({
            clock,
            callStore,
            intervalMilliseconds: configurationMilliseconds / probesPerConfigurationTime,
        });
        this.leaseReviewer = LeaseReviewer.create(options);
        this.startedAt = clock.getMonotonicTime();
    }

    /** Creates an instance that does nothing before {@link start}. */
    static create(options: StoreWatchControllerOptions): StoreWatchController {
        return new StoreWatchController(options);
    }

    /** Starts the followers and the periodic review. */
    start(): void {
        this.review();
        for (const follower of this.options.followers) {
            follower.start();
        }
    }

    /** Stops the review and aborts calls in flight. */
    stop(): void {
        this.timer?.cancel();
        this.probe.setActive(false);
        for (const follower of this.options.followers) {
            follower.stop();
        }
    }

    /** Checks if the last probe was answered, so that more expensive calls are worthwhile. */
    isProbeAnswered(): boolean {
        return this.probe.isStoreReachable();
    }

    /** Checks if the store refuses this node or does not answer it. */
    isWithoutStore(): boolean {
        return !this.probe.isStoreReachable() || !this.options.followers.every(follower => follower.isStoreReachable());
    }

    /** Checks if neither this node nor any other that could acquire the placement lease can reach the store. */
    isStoreLost(): boolean {
        if (!this.isWithoutStore()) {
            return false;
        }
        const { nodeId, owners, nodes, clock } = this.options;
        const others = nodes.getLiveNodes(clock.getMonotonicTime());
        return others.length < independentNodeLimit
            ? others.every(({ isWithoutStore }) => isWithoutStore)
            : listStoreWatchers([...others, { nodeId, isWithoutStore: true }], owners).watching.length === 0;
    }

    /** Checks if the last review selected this node to watch the store. */
    isStoreWatcher(): boolean {
        return this.isSelectedWatcher;
    }

    /** Proves by calls that the copy is current, or finds what it lacks, except for sections that were proven to be current lately. */
    confirmCopy(): void {
        const provenAfter = this.options.clock.getMonotonicTime() - this.confirmationAge;
        for (const follower of this.options.followers) {
            if (follower.getConfirmedTime() <= provenAfter) {
                void follower.confirm();
            }
        }
    }

    /** Gets the monotonic time in milliseconds of the last store failure that any node has found. */
    getLastFailure(): number {
        const failures = this.options.followers.map(follower => follower.getLastFailure());
        return Math.max(this.lastPeerFailure, this.probe.getLastFailure(), ...failures);
    }

    /** Handles that the store was restored from an older snapshot: all records are read again. */
    handleStoreRestored(): void {
        for (const follower of this.options.followers) {
            follower.handleStoreRestored();
        }
    }

    /** Records the last store failure that a peer knows of. */
    recordPeerFailure(failedAt: number): void {
        this.lastPeerFailure = Math.max(this.lastPeerFailure, failedAt);
    }

    /** Passes a peer's frontier on to the follower of the section. */
    handlePeerFrontier(section: string, frontier: number): void {
        const follower = this.options.followers.find(candidate => candidate.getSectionName() === section);
        follower?.handlePeerFrontier(frontier);
    }

    /** Gets the node that should order placements; undefined if this node doesn't watch the store, and so doesn't choose it. */
    getPlanner(): string | undefined {
        return this.isSelectedWatcher && !this.isWithoutStore() ? this.leaseReviewer.getPlanner() : undefined;
    }

    private review(): void {
        const { nodeId, clock, nodes, lease, followers, configurationMilliseconds } = this.options;
        const now = clock.getMonotonicTime();
        const others = nodes.getLiveNodes(now);
        this.hasManyNodes = others.length >= independentNodeLimit;
        const watchers = this.listWatchers(others);
        this.confirmationAge = configurationMilliseconds
            * getConfirmationFraction(watchers.watching.indexOf(nodeId), this.hasManyNodes);
        const isWatcher = this.isWatcher(watchers, now);
        if (isWatcher && !this.isSelectedWatcher) {
            this.options.onSelected();
        }
        this.isSelectedWatcher = isWatcher;
        // A node whose own call has failed keeps calling until the store answers, since it may be the only one that the store refuses.
        const isFailing = followers.some(follower => !follower.isStoreReachable());
        const isActive = isWatcher || lease.isHeld() || isFailing || this.isReadingDue();
        for (const follower of followers) {
            follower.setActive(isActive);
        }
        // With few nodes no other node depends on this one, but during a store failure the followers wait for the probe.
        this.probe.setActive(isActive && (isFailing || this.hasManyNodes));
        if (this.options.proof.getAge() >= this.confirmationAge) {
            this.confirmCopy();
        }
        this.reviewLease();
        this.reportCopyAge();
        this.timer = clock.setTimer(this.getReviewDelay(), () => this.review());
    }

    /** Gets the time until the next review, which is at the latest when the copy has to be confirmed. */
    private getReviewDelay(): number {
        const untilConfirmation = this.confirmationAge - this.options.proof.getAge();
        return untilConfirmation > 0
            ? Math.min(reviewIntervalMilliseconds, Math.ceil(untilConfirmation))
            : reviewIntervalMilliseconds;
    }

    /** Reports the age of the copy, and logs when it exceeds the time within which a change must be in force, and when it no longer does. */
    private reportCopyAge(): void {
        const { log, followers, configurationMilliseconds, onCopyAge } = this.options;
        const age = this.options.proof.getAge();
        onCopyAge(age);
        const isUnconfirmed = age > configurationMilliseconds;
        if (isUnconfirmed === this.isLoggedAsUnconfirmed) {
            return;
        }
        this.isLoggedAsUnconfirmed = isUnconfirmed;
        const frontiers = followers.map(follower => `${follower.getSectionName()}=${follower.getFrontier()}`).join(",");
        const event = isUnconfirmed ? events.storeCopyUnconfirmed : events.storeCopyConfirmed;
        log.write(event, { ageMilliseconds: age, frontiers, isWithoutStore: this.isWithoutStore() });
    }

    private listWatchers(others: readonly KnownNode[]): StoreWatchers {
        const { nodeId, owners } = this.options;
        return listStoreWatchers([...others, { nodeId, isWithoutStore: this.isWithoutStore() }], owners);
    }

    private isWatcher(watchers: StoreWatchers, now: number): boolean {
        const { nodeId, isSeed } = this.options;
        return this.hasManyNodes
            ? isStoreWatcher(nodeId, watchers)
            : isSeed || now - this.startedAt > discoveryMilliseconds;
    }

    /**
     * Checks if a section has not been read yet, or has to be read again to prove that it is current. Every node reads the store once when
     * it starts, with two calls, because after a complete power loss its callers wait for that. Only watching it is limited to a few nodes.
     */
    private isReadingDue(): boolean {
        const isProofMissing = this.options.proof.getAge() >= this.confirmationAge;
        return this.options.followers.some(follower =>
            !follower.hasRecords() || isProofMissing && follower.isFullReadDue()
        );
    }

    /** Acquires, keeps or releases the placement lease, as of the last review of the nodes. */
    reviewLease(): void {
        const { nodes, clock } = this.options;
        const now = clock.getMonotonicTime();
        const others = nodes.getLiveNodes(now);
        this.leaseReviewer.review({
            others,
            isWatcher: this.isSelectedWatcher,
            isStoreAnswering: !this.isWithoutStore(),
            hasManyNodes: this.hasManyNodes,
            hasPeers: others.length > 0 || now - this.startedAt > soleNodeMilliseconds,
        });
    }
}
