import type { RandomSource } from "../randomSource.ts";

/**
 * Goes round the members in a random order that is drawn anew after each full turn: each is contacted once a turn, so
 * the time to notice a silent one is bounded (SWIM, section 4.3).
 */
export class PeerRotation {
    private readonly random: RandomSource;
    private order: string[] = [];
    private readonly urgent = new Set<string>();

    private constructor(random: RandomSource) {
        this.random = random;
    }

    /** Creates an empty rotation. */
    static create(random: RandomSource): PeerRotation {
        return new PeerRotation(random);
    }

    /** Puts a member before the others for the next round. */
    prefer(nodeId: string): void {
        this.urgent.add(nodeId);
    }

    /**
     * Takes the next members to contact.
     * @param nodeIds - All that may be contacted now.
     * @param count - Most to take.
     */
    take(nodeIds: readonly string[], count: number): string[] {
        const allowed = new Set(nodeIds);
        const taken = new Set([...this.urgent].filter(nodeId => allowed.has(nodeId)).slice(0, count));
        this.urgent.clear();
        while (taken.size < Math.min(count, allowed.size)) {
            const next = this.order.pop();
            if (next === undefined) {
                this.order = this.shuffle(nodeIds);
            }
            else if (allowed.has(next)) {
                taken.add(next);
            }
        }
        return [...taken];
    }

    private shuffle(nodeIds: readonly string[]): string[] {
        const shuffled = [...nodeIds];
        for (let last = shuffled.length - 1; last > 0; last--) {
            const other = Math.floor(this.random() * (last + 1));
            [shuffled[last], shuffled[other]] = [shuffled[other] as string, shuffled[last] as string];
        }
        return shuffled;
    }
}
