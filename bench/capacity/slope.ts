import type { Point } from "./point.ts";

/** A linear fit of a measured quantity as a function of a variable. */
export interface Slope {
    /** Unique name by which the totals refer to the slope. */
    id: string;
    /** Part of the system that was measured. */
    role: string;
    quantity: string;
    /** Unit of the quantity. */
    unit: string;
    variable: string;
    points: readonly Point[];
    /** Change of the quantity per unit of the variable. */
    slope: number;
    /** Value of the quantity when the variable is 0. */
    intercept: number;
    /** Root-mean-square deviation of the points from the line, in units of the quantity. */
    residual: number;
}
