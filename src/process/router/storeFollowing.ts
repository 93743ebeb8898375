import type { Clock, TimerHandle } from "../clock.ts";
import type { FencedLease } from "../leases/fencedLease.ts";
import type { RendezvousOwners } from "../membership/rendezvousOwners.ts";
import type { RecordFollower } from "../replica/recordFollower.ts";
import { isStoreWatcher } from "./isStoreWatcher.ts";
import type { KnownNode } from "./knownNode.ts";
import type { NodeTable } from "./nodeTable.ts";
import { StoreProbe } from "./storeProbe.ts";

/** Options of a {@link StoreFollowing}. */
interface StoreFollowingOptions {
    nodeId: string;
    clock: Clock;
    nodes: NodeTable;
    /** Assigns duties to nodes. */
    owners: RendezvousOwners;
    followers: readonly RecordFollower[];
    /** Right to place layers, which those seek that follow the store. */
    lease: Pick<FencedLease, "isHeld" | "start" | "pause" | "rest">;
    /** Whether this node gives its duties up. */
    isDraining(): boolean;
    /** Makes the cheapest call to the store; false where it isn't answered soon. */
    callStore(): Promise<boolean>;
    /** How long a configuration may take to come into force on every node, in milliseconds. */
    configurationMilliseconds: number;
    /** Whether the other nodes' settings name this one. */
    isSeed: boolean;
    /** Whether layers should be placed, so that the right to do so is needed. */
    hasPlacementWork(): boolean;
}

/** So few nodes all follow the store: then none depends on another, and the calls cost little. */
const mostIndependentNodes = 12;
/** How often it is reviewed who follows the store. */
const reviewMilliseconds = 250;
/**
 * A node whose peers brought nothing current for this part of the time that changes may take follows the store itself. With less, the
 * usual way of news by the probe and two steps over peers would take too long for many nodes, and all would call the store.
 */
const stalePart = 0.75;
/** It goes on for this long, so that it doesn't change its ways with every late message. */
const followMilliseconds = 6_000;
/** A node that has heard of no other by then takes itself for the only one. */
const lonelyMilliseconds = 1_500;
/** Only after this time does a node that knows of few others take it that there are few. */
const acquaintanceMilliseconds = 1_500;
/** Parts of the time that changes may take: the probe comes so many times in it. */
const probesOfChange = 5;

/**
 * Follows the store, or leaves it to other nodes and hears from them, by the nodes that live. Knows how current this node's
 * copy is, and when the store was last out of order.
 */
export class StoreFollowing {
    private readonly options: StoreFollowingOptions;
    private readonly probe: StoreProbe;
    private readonly startedAt: number;
    private timer: TimerHandle | undefined;
    /** When the store was last out of order, by what peers told. */
    private lastToldFailure = -Infinity;
    /** When this node's copy of the store was last known to be current, by what peers told. */
    private lastToldFresh = -Infinity;
    /** Until when this node follows the store because its peers did not bring it what is current. */
    private followsUntil = -Infinity;
    private isOneOfWatchers = false;

    private constructor(options: StoreFollowingOptions) {
        this.options = options;
        const { clock, callStore, configurationMilliseconds } = options;
        this.probe = StoreProbe.create({
            clock,
            callStore,
            intervalMilliseconds: configurationMilliseconds / probesOfChange,
        });
        this.startedAt = clock.getMonotonicTime();
    }

    /** Creates what does nothing before {@link start}. */
    static create(options: StoreFollowingOptions): StoreFollowing {
        return new StoreFollowing(options);
    }

    /** Reviews from now on whether to follow the store. */
    start(): void {
        this.review();
        for (const follower of this.options.followers) {
            follower.start();
        }
    }

    /** Ends the calls under way. */
    stop(): void {
        this.timer?.cancel();
        this.probe.setActive(false);
        for (const follower of this.options.followers) {
            follower.stop();
        }
    }

    /** Whether the cheap call of the probe was answered last, so that others are worth their price. */
    isProbeAnswered(): boolean {
        return this.probe.isInContact();
    }

    /** Whether the store refuses this node or does not answer it. */
    isWithoutStore(): boolean {
        return !this.probe.isInContact() || !this.options.followers.every(follower => follower.isInContact());
    }

    /** Whether this node is one of those that follow the store, by the last review. */
    isStoreWatcher(): boolean {
        return this.isOneOfWatchers;
    }

    /** Gets the monotonic time in milliseconds at which this node's copy of the store was last known to be current. */
    getFreshTime(): number {
        const isFollowing = this.options.followers.every(follower => follower.isCurrent());
        return Math.max(this.lastToldFresh, isFollowing ? this.probe.getLastAnswer() : -Infinity);
    }

    /** Gets the monotonic time in milliseconds at which the store was last found out of order, by anyone. */
    getLastFailure(): number {
        return Math.max(this.lastToldFailure, ...this.options.followers.map(follower => follower.getLastFailure()));
    }

    /** Notes when a peer's copy, which this node has too by then, was last known to be current. */
    notePeerFresh(freshAt: number): void {
        this.lastToldFresh = Math.max(this.lastToldFresh, freshAt);
    }

    /** Notes when a peer knows the store to have been out of order last. */
    notePeerFailure(failedAt: number): void {
        this.lastToldFailure = Math.max(this.lastToldFailure, failedAt);
    }

    /** Notes how far a peer has followed a section. */
    notePeerFrontier(section: string, frontier: number): void {
        const follower = this.options.followers.find(candidate => candidate.getSectionName() === section);
        follower?.notePeerFrontier(frontier);
    }

    private review(): void {
        const { clock, nodes, lease, followers } = this.options;
        const now = clock.getMonotonicTime();
        const others = nodes.getLiveNodes(now);
        const isWatcher = this.isWatcher(others, now);
        this.isOneOfWatchers = isWatcher;
        const isActive = isWatcher || lease.isHeld() || this.isStale(now) || this.isReadingDue();
        for (const follower of followers) {
            follower.setActive(isActive);
        }
        // With few nodes nobody depends on what this one hears, but while the store fails all wait for the probe.
        const isFailing = followers.some(follower => !follower.isInContact());
        this.probe.setActive(isActive && (isFailing || others.length >= mostIndependentNodes));
        const hasPeers = others.length > 0 || now - this.startedAt > lonelyMilliseconds;
        this.reviewLease(isWatcher, hasPeers);
        this.timer = clock.setTimer(reviewMilliseconds, () => this.review());
    }

    private isWatcher(others: readonly KnownNode[], now: number): boolean {
        const { nodeId, owners, isSeed } = this.options;
        if (others.length < mostIndependentNodes) {
            return isSeed || now - this.startedAt > acquaintanceMilliseconds;
        }
        return isStoreWatcher({ nodeId, isWithoutStore: this.isWithoutStore() }, others, owners);
    }

    /**
     * Whether nothing is known yet of some section. Every node reads the store once when it starts, two calls, since after a loss of
     * all power its callers wait for that; only to follow it is left to few.
     */
    private isReadingDue(): boolean {
        return !this.options.followers.every(follower => follower.hasRecords());
    }

    /** Whether this node follows the store because its peers did not bring it what is current. */
    private isStale(now: number): boolean {
        const { configurationMilliseconds } = this.options;
        const freshAt = Math.max(this.getFreshTime(), this.startedAt);
        if (now - freshAt > configurationMilliseconds * stalePart) {
            this.followsUntil = now + followMilliseconds;
        }
        return now < this.followsUntil;
    }

    private reviewLease(isWatcher: boolean, hasPeers: boolean): void {
        const { lease, isDraining, hasPlacementWork } = this.options;
        if (!isWatcher || this.isWithoutStore()) {
            // Without the store nobody can take the lease; its holder alone goes on trying to renew it.
            // At its start a node that knows of few others counts as one that follows the store. Were all to seek the lease
            // from then on, their writes would be to no purpose.
            lease.pause();
            return;
        }
        if (!hasPlacementWork()) {
            // A lease that is renewed each second to no purpose is a fifth of all calls to the store on a calm day.
            lease.rest();
            return;
        }
        if (hasPeers && !isDraining()) {
            lease.start();
        }
    }
}
