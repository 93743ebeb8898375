/**
 * The one place that imports `ts-results`: the package is a CommonJS module whose named exports
 * Node.js cannot see from an ES module, so its members are taken from the default export here.
 */
import results, { type Result as ResultType } from "ts-results";

export const Ok = results.Ok;
export const Err = results.Err;
export type Result<T, E> = ResultType<T, E>;
