import type { Clock } from "../clock.ts";
import type { RecordFollower } from "../replica/recordFollower.ts";
import { maximumCopyAgeFraction } from "./maximumCopyAgeFraction.ts";

/** Keeps a section of the copy up to date. */
type Follower = Pick<RecordFollower, "getConfirmedTime">;

/** Options of {@link CopyProof}. */
interface CopyProofOptions {
    clock: Clock;
    /** The followers of all sections. */
    followers: readonly Follower[];
    /** Maximum time for a configuration to come into force on every node, in milliseconds. */
    configurationMilliseconds: number;
}

/** A node asks the peers from which it gets updates for a newer proof if its own is older than this fraction of the configuration time. */
const requestFraction = 0.5;
/** The same for a node from which others get updates: a proof reaches them one round later. */
const distributorRequestFraction = 0.35;

/**
 * Knows up to which time a node's copy of the store is proven to have all changes: the time of an answered call for changes, by this node or
 * by a peer that was not ahead. An answered probe proves nothing: the call that waits for changes may be lost all the same.
 */
export class CopyProof {
    private readonly options: CopyProofOptions;
    private readonly startedAt: number;
    /** Time up to which the copy is proven by peers. */
    private peerTime = -Infinity;

    private constructor(options: CopyProofOptions) {
        this.options = options;
        this.startedAt = options.clock.getMonotonicTime();
    }

    /** Creates an instance without a proof. */
    static create(options: CopyProofOptions): CopyProof {
        return new CopyProof(options);
    }

    /**
     * Gets the monotonic time in milliseconds up to which the copy is proven.
     * @param followers - The followers of the sections that matter. Default: those of all.
     */
    getTime(followers = this.options.followers): number {
        const ownTime = Math.min(...followers.map(follower => follower.getConfirmedTime()));
        return Math.max(this.peerTime, ownTime);
    }

    /** Gets the time since then, or since the start, in milliseconds. */
    getAge(): number {
        return Math.round(this.options.clock.getMonotonicTime() - Math.max(this.getTime(), this.startedAt));
    }

    /** Records up to which time a peer's copy is proven. This node's copy must have reached the same revision. */
    recordPeerTime(provenAt: number): void {
        this.peerTime = Math.max(this.peerTime, provenAt);
    }

    /**
     * Checks if the copy is proven to have all changes that must be in force. It is not before the first proof, however young the node.
     * @param followers - The followers of the sections that matter. Default: those of all.
     */
    isCurrent(followers = this.options.followers): boolean {
        const { clock, configurationMilliseconds } = this.options;
        return clock.getMonotonicTime() - this.getTime(followers) <= configurationMilliseconds * maximumCopyAgeFraction;
    }

    /**
     * Checks if this node should ask the peers from which it gets updates for a newer proof.
     * @param isDistributor - Whether other nodes get updates from this node.
     */
    isRequestDue(isDistributor: boolean): boolean {
        const fraction = isDistributor ? distributorRequestFraction : requestFraction;
        return this.getAge() > this.options.configurationMilliseconds * fraction;
    }
}
