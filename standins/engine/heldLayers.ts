import type { LayerRange } from "../../src/version/configuration.ts";

/** Set of the layers that an engine holds. */
export class HeldLayers {
    private readonly flagsByModel = new Map<string, boolean[]>();

    private constructor() {}

    /** Creates a set from layer ranges. */
    static create(ranges: LayerRange[]): HeldLayers {
        const layers = new HeldLayers();
        for (const range of ranges) {
            layers.setHeld(range, true);
        }
        return layers;
    }

    /** Adds or removes a range. */
    setHeld(range: LayerRange, isHeld: boolean): void {
        const flags = this.flagsByModel.get(range.model) ?? [];
        this.flagsByModel.set(range.model, flags);
        for (let layer = range.start; layer < range.end; layer++) {
            flags[layer] = isHeld;
        }
    }

    /** Gets if all layers of a range are held. */
    hasRange(range: LayerRange): boolean {
        const flags = this.flagsByModel.get(range.model) ?? [];
        for (let layer = range.start; layer < range.end; layer++) {
            if (!flags[layer]) {
                return false;
            }
        }
        return true;
    }

    /** Gets the held layers as ranges. Adjacent ranges are merged. */
    getRanges(): LayerRange[] {
        const ranges: LayerRange[] = [];
        for (const [model, flags] of this.flagsByModel) {
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
