import type { RandomSource } from "../randomSource.ts";

/**
 * Round-robin selection of peers in a random order that is reshuffled after each cycle. Each peer is contacted once per
 * cycle, which bounds the time to detect a failed one (SWIM, section 4.3).
 */
export class PeerRotation {
    private readonly random: RandomSource;
    private order: string[] = [];
    private readonly preferred = new Set<string>();

    private constructor(random: RandomSource) {
        this.random = random;
    }

    /** Creates an empty rotation. */
    static create(random: RandomSource): PeerRotation {
        return new PeerRotation(random);
    }

    /** Prioritizes a member in the next selection. */
    prioritize(nodeId: string): void {
        this.preferred.add(nodeId);
    }

    /**
     * Selects the next members to contact.
     * @param nodeIds - Members that may be contacted.
     * @param count - Most members to select.
     */
    select(nodeIds: readonly string[], count: number): string[] {
        const allowed = new Set(nodeIds);
        const selected = new Set([...this.preferred].filter(nodeId => allowed.has(nodeId)).slice(0, count));
        this.preferred.clear();
        while (selected.size < Math.min(count, allowed.size)) {
            const next = this.order.pop();
            if (next === undefined) {
                this.order = this.shuffle(nodeIds);
            }
            else if (allowed.has(next)) {
                selected.add(next);
            }
        }
        return [...selected];
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
