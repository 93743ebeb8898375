import type { Slope } from "./slope.ts";

/** The slopes of a run, indexed by their ids. */
export class SlopeTable {
    private readonly slopes: ReadonlyMap<string, Slope>;

    private constructor(slopes: readonly Slope[]) {
        this.slopes = new Map(slopes.map(slope => [slope.id, slope]));
    }

    /** Creates the table from the slopes of a complete run. */
    static create(slopes: readonly Slope[]): SlopeTable {
        return new SlopeTable(slopes);
    }

    /** Gets the change of the quantity per unit of the variable. */
    getSlope(id: string): number {
        return this.getOrThrow(id).slope;
    }

    /** Gets the value of the fitted line at a value of the variable. */
    getValue(id: string, x: number): number {
        const { slope, intercept } = this.getOrThrow(id);
        return intercept + slope * x;
    }

    private getOrThrow(id: string): Slope {
        const slope = this.slopes.get(id);
        if (slope === undefined) {
            throw new Error(`The run has no slope ${id}; run all parts to compute totals.`);
        }
        return slope;
    }
}
