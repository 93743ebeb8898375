import type { Point } from "./point.ts";
import type { Slope } from "./slope.ts";

/**
 * Fits a line by linear regression (least squares).
 * @param description - The measured quantity and the variable.
 * @param points - At least three measurements.
 */
export function fitSlope(
    description: Pick<Slope, "id" | "role" | "quantity" | "unit" | "variable">,
    points: readonly Point[],
): Slope {
    const meanX = getMean(points.map(({ x }) => x));
    const meanY = getMean(points.map(({ y }) => y));
    const covariance = getMean(points.map(({ x, y }) => (x - meanX) * (y - meanY)));
    const slope = covariance / getMean(points.map(({ x }) => (x - meanX) ** 2));
    const intercept = meanY - slope * meanX;
    const residual = Math.sqrt(getMean(points.map(({ x, y }) => (y - intercept - slope * x) ** 2)));
    return { ...description, points, slope, intercept, residual };
}

function getMean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}
