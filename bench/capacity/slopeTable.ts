import type { Slope } from "./slope.ts";

/** The slopes of a run by their ids. */
export class SlopeTable {
    private readonly slopes: ReadonlyMap<string, Slope>;

    private constructor(slopes: readonly Slope[]) {
        this.slopes = new Map(slopes.map(slope => [slope.id, slope]));
    }

    /** Creates the table of a whole run. */
    static create(slopes: readonly Slope[]): SlopeTable {
        return new SlopeTable(slopes);
    }

    /** Gets what one more of the variable costs. */
    getSlope(id: string): number {
        return this.getOrThrow(id).slope;
    }

    /** Gets the quantity at a value of the variable, on the fitted line. */
    getValue(id: string, x: number): number {
        const { slope, intercept } = this.getOrThrow(id);
        return intercept + slope * x;
    }

    private getOrThrow(id: string): Slope {
        const slope = this.slopes.get(id);
        if (slope === undefined) {
            throw new Error(`The run has no slope ${id}. Run all parts.`);
        }
        return slope;
    }
}
