import type { Point } from "./point.ts";

/** What one quantity costs for each further unit of a variable, with the points that it was fitted through. */
export interface Slope {
    /** Unique name by which the totals find it. */
    id: string;
    role: string;
    quantity: string;
    /** Unit of the quantity. */
    unit: string;
    variable: string;
    points: readonly Point[];
    /** Units of the quantity for one more of the variable. */
    slope: number;
    /** Units of the quantity where the variable is 0. */
    intercept: number;
    /** Root of the mean squared distance of the points from the line, in units of the quantity. */
    residual: number;
}
