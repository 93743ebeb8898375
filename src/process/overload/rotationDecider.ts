import type { RendezvousOwners } from "../membership/rendezvousOwners.ts";

/** What a node knows of itself or of a peer of its data centre. */
interface RotationNode {
    nodeId: string;
    /** Whether it is out of the load balancer's rotation, or is late enough to leave it. */
    isOutOrLate: boolean;
}

/** Input of {@link RotationDecider.decide}. */
interface RotationQuery {
    dataCentre: string;
    nodeId: string;
    /** Whether this node is late enough to leave the rotation. */
    isLate: boolean;
    /** The other live nodes of the data centre. */
    others: readonly RotationNode[];
    /** Monotonic time in milliseconds. */
    now: number;
}

/**
 * Maximum fraction of the live nodes of a data centre that leave the rotation because they are late. The load balancer uses all nodes as
 * soon as fewer than half are in rotation.
 */
const maximumOutFraction = 0.25;
/** Maximum fraction of the time for which a node is out of rotation. */
const maximumOutTimeFraction = 1 / 8;
/** The load balancer takes a node out after two checks at one per second, so a shorter time has no effect. */
const minimumOutMilliseconds = 3_000;
/** Limit of the time that a node saves up for leaving the rotation, so that it isn't out for long at once. */
const maximumOutMilliseconds = 10_000;

/**
 * Decides whether a late node leaves the load balancer's rotation. Rendezvous hashing decides which of several late nodes of a data
 * centre may leave, so all of them come to the same result.
 *
 * Load: several nodes of a data centre are late at once, by a burst or by a share of the traffic that is larger than those of others.
 */
export class RotationDecider {
    private readonly owners: Pick<RendezvousOwners, "getOwners">;
    private isOut = false;
    private updatedAt: number;
    /** Time for which the node may still be out. It grows while the node is in rotation. */
    private remainingMilliseconds = 0;

    private constructor(owners: Pick<RendezvousOwners, "getOwners">, now: number) {
        this.owners = owners;
        this.updatedAt = now;
    }

    /**
     * Creates a decider for a node that is in rotation.
     * @param owners - Ranks the nodes.
     * @param now - Monotonic time in milliseconds.
     */
    static create(owners: Pick<RendezvousOwners, "getOwners">, now: number): RotationDecider {
        return new RotationDecider(owners, now);
    }

    /** Decides whether this node is out of rotation from now on. */
    decide(query: RotationQuery): boolean {
        this.updateRemaining(query.now);
        const required = this.isOut ? 0 : minimumOutMilliseconds;
        this.isOut = query.isLate && this.remainingMilliseconds > required && this.isFirst(query);
        return this.isOut;
    }

    private updateRemaining(now: number): void {
        const elapsed = now - this.updatedAt;
        this.updatedAt = now;
        // In the time t in rotation, a node saves up t/7, so that it is out for an eighth of the whole.
        const saved = elapsed * maximumOutTimeFraction / (1 - maximumOutTimeFraction);
        this.remainingMilliseconds = this.isOut
            ? Math.max(0, this.remainingMilliseconds - elapsed)
            : Math.min(maximumOutMilliseconds, this.remainingMilliseconds + saved);
    }

    /** Checks if this node is among the first of those that are out or would leave, as far as the data centre can spare them. */
    private isFirst({ dataCentre, nodeId, others }: RotationQuery): boolean {
        const spared = Math.floor((others.length + 1) * maximumOutFraction);
        const candidates = [nodeId];
        for (const other of others) {
            if (other.isOutOrLate) {
                candidates.push(other.nodeId);
            }
        }
        return spared > 0 && this.owners.getOwners(`rotation/${dataCentre}`, candidates, spared).includes(nodeId);
    }
}
