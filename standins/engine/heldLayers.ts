import type { LayerRange } from "../../src/version/configuration.ts";

/** The layers that an engine holds. */
export class HeldLayers {
    private readonly held = new Map<string, boolean[]>();

    private constructor() {}

    /** Creates a set of layers from ranges. */
    static create(ranges: LayerRange[]): HeldLayers {
        const layers = new HeldLayers();
        for (const range of ranges) {
            layers.setHeld(range, true);
        }
        return layers;
    }

    /** Adds a range or takes it away. */
    setHeld(range: LayerRange, held: boolean): void {
        const flags = this.held.get(range.model) ?? [];
        this.held.set(range.model, flags);
        for (let layer = range.start; layer < range.end; layer++) {
            flags[layer] = held;
        }
    }

    /** Whether all layers of a range are held. */
    hasRange(range: LayerRange): boolean {
        const flags = this.held.get(range.model) ?? [];
        for (let layer = range.start; layer < range.end; layer++) {
            if (!flags[layer]) {
                return false;
            }
        }
        return true;
    }

    /** Gets the held layers as ranges; ranges that touch are one. */
    getRanges(): LayerRange[] {
        const ranges: LayerRange[] = [];
        for (const [model, flags] of this.held) {
            for (let layer = 0; layer < flags.length; layer++) {
                const last = ranges.at(-1);
                if (!flags[layer]) {
                    continue;
                }
                if (last?.model === model && last.end === layer) {
                    last.end++;
                }
                else {
                    ranges.push({ model, start: layer, end: layer + 1 });
                }
            }
        }
        return ranges;
    }

    /** Gets the number of held layers. */
    getCount(): number {
        return this.getRanges().reduce((sum, range) => sum + range.end - range.start, 0);
    }
}
