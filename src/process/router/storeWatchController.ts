import type { Clock, TimerHandle } from "../clock.ts";
import type { FencedLease } from "../leases/fencedLease.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import type { RendezvousOwners } from "../membership/rendezvousOwners.ts";
import type { LeaseAction } from "../placement/leaseAction.ts";
import type { RecordFollower } from "../replica/recordFollower.ts";
import { isStoreWatcher } from "./isStoreWatcher.ts";
import type { KnownNode } from "./knownNode.ts";
import { LeaseReviewer } from "./leaseReviewer.ts";
import { listStoreWatchers } from "./listStoreWatchers.ts";
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
/**
 * A node whose copy was not confirmed as current for this fraction of the configuration time watches the store itself. A
 * lower fraction would be exceeded at many nodes by the usual path of the probe and two hops over peers, and all would call
 * the store.
 */
const staleFraction = 0.75;
/** How long such a node keeps watching, so that it does not switch with every late message. */
const fallbackWatchMilliseconds = 6_000;
/** A node that has heard from no other node after this time assumes that it is the only one. */
const soleNodeMilliseconds = 1_500;
/** A node that knows few others assumes only after this time that there are few. */
const discoveryMilliseconds = 1_500;
/** Number of probes within the configuration time. */
const probesPerConfigurationTime = 5;
/**
 * One selected node confirms its copy by a call if nothing else has for this fraction of the configuration time. All other nodes learn
 * it from messages.
 */
const selectedConfirmationFraction = 0.25;
/** The same with many nodes, where the price of the calls counts for more, and a probe shows that the store answers. */
const selectedConfirmationFractionOfMany = 0.4;
/** The same for any other of few nodes, in case that no message has told it in time. */
const confirmationFraction = 0.6;

/**
 * Decides from the live nodes whether this node watches the store or gets changes from other nodes. Tracks how current this
 * node's copy is, and when the store last failed.
 */
export class StoreWatchController {
    private readonly options: StoreWatchControllerOptions;
    private readonly probe: StoreProbe;
    private readonly leaseReviewer: LeaseReviewer;
    private readonly startedAt: number;
    private timer: TimerHandle | undefined;
    /** Time of the last store failure that peers reported. */
    private lastPeerFailure = -Infinity;
    /** Time at which this node's copy of the store was last known to be current, as reported by peers. */
    private lastPeerFreshTime = -Infinity;
    /** Time until which this node watches the store because its copy was stale. */
    private watchesUntil = -Infinity;
    private isSelectedWatcher = false;
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

    /**
     * Gets the monotonic time in milliseconds at which this node's copy of the store was last known to be current: the time of an
     * answered call for changes, by this node or by a peer that was not ahead. With many nodes also that of an answered probe, since
     * the selected node finds soon what the waiting calls of the others have missed.
     */
    getFreshTime(): number {
        const { followers } = this.options;
        const confirmedAt = this.getConfirmedTime();
        const isProbeValid = this.hasManyNodes && followers.every(follower => follower.isCurrent());
        return Math.max(this.lastPeerFreshTime, confirmedAt, isProbeValid ? this.probe.getLastAnswer() : -Infinity);
    }

    /** Gets the time since this node's copy of the store was last known to be current, or since the start, in milliseconds. */
    getCopyAge(): number {
        const freshAt = Math.max(this.getFreshTime(), this.startedAt);
        return Math.round(this.options.clock.getMonotonicTime() - freshAt);
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

    /** Records when a peer's copy was last known to be current. This node's copy must have reached the same revision. */
    recordPeerFreshTime(freshAt: number): void {
        this.lastPeerFreshTime = Math.max(this.lastPeerFreshTime, freshAt);
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
        const { clock, nodes, lease, followers } = this.options;
        const now = clock.getMonotonicTime();
        const others = nodes.getLiveNodes(now);
        const isWatcher = this.isWatcher(others, now);
        if (isWatcher && !this.isSelectedWatcher) {
            this.options.onSelected();
        }
        this.isSelectedWatcher = isWatcher;
        const isActive = isWatcher || lease.isHeld() || this.isStale(now) || this.isReadingDue();
        for (const follower of followers) {
            follower.setActive(isActive);
        }
        this.hasManyNodes = others.length >= independentNodeLimit;
        // With few nodes no other node depends on this one, but during a store failure the followers wait for the probe.
        const isFailing = followers.some(follower => !follower.isStoreReachable());
        this.probe.setActive(isActive && (isFailing || this.hasManyNodes));
        this.confirmCopy(others, now);
        this.reviewLease();
        this.reportCopyAge();
        this.timer = clock.setTimer(reviewIntervalMilliseconds, () => this.review());
    }

    private getConfirmedTime(): number {
        return Math.min(...this.options.followers.map(follower => follower.getConfirmedTime()));
    }

    /** Confirms the copy by a call if nothing else has for some time. */
    private confirmCopy(others: readonly KnownNode[], now: number): void {
        const age = now - this.getLastConfirmation();
        // Ranking the nodes takes processor time, and with many nodes only a selected watcher can be the first of them.
        if (this.hasManyNodes && !this.isSelectedWatcher || age < this.getMinimumConfirmationInterval()) {
            return;
        }
        if (age < this.getConfirmationInterval(others)) {
            return;
        }
        for (const follower of this.options.followers) {
            void follower.confirm();
        }
    }

    private getLastConfirmation(): number {
        return this.hasManyNodes ? this.getConfirmedTime() : this.getFreshTime();
    }

    /** Gets the time after which this node confirms its copy by a call, in milliseconds. */
    private getConfirmationInterval(others: readonly KnownNode[]): number {
        const { nodeId, owners, configurationMilliseconds } = this.options;
        const { watching } = listStoreWatchers([...others, { nodeId, isWithoutStore: this.isWithoutStore() }], owners);
        if (watching[0] === nodeId) {
            return this.getMinimumConfirmationInterval();
        }
        return this.hasManyNodes ? Infinity : configurationMilliseconds * confirmationFraction;
    }

    /** Gets the interval of the selected node, in milliseconds. No other node confirms its copy more often. */
    private getMinimumConfirmationInterval(): number {
        const fraction = this.hasManyNodes ? selectedConfirmationFractionOfMany : selectedConfirmationFraction;
        return this.options.configurationMilliseconds * fraction;
    }

    /** Reports the age of the copy, and logs when it exceeds the time within which a change must be in force, and when it no longer does. */
    private reportCopyAge(): void {
        const { log, followers, configurationMilliseconds, onCopyAge } = this.options;
        const age = this.getCopyAge();
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

    private isWatcher(others: readonly KnownNode[], now: number): boolean {
        const { nodeId, owners, isSeed } = this.options;
        if (others.length < independentNodeLimit) {
            return isSeed || now - this.startedAt > discoveryMilliseconds;
        }
        return isStoreWatcher({ nodeId, isWithoutStore: this.isWithoutStore() }, others, owners);
    }

    /**
     * Checks if a section has not been read yet. Every node reads the store once when it starts, with two calls, because after a
     * complete power loss its callers wait for that. Only watching it is limited to a few nodes.
     */
    private isReadingDue(): boolean {
        return !this.options.followers.every(follower => follower.hasRecords());
    }

    /** Checks if this node watches the store because its copy is or recently was stale. */
    private isStale(now: number): boolean {
        const { configurationMilliseconds } = this.options;
        const freshAt = Math.max(this.getFreshTime(), this.startedAt);
        if (now - freshAt > configurationMilliseconds * staleFraction) {
            this.watchesUntil = now + fallbackWatchMilliseconds;
        }
        return now < this.watchesUntil;
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
