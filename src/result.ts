/**
 * The one place that imports `ts-results`. Node.js loads the package as a CommonJS module, whose members are those of the
 * default export; a bundler loads its ES module, which has named exports only.
 */
import * as namespace from "ts-results";

const library = (namespace as unknown as { default?: typeof namespace; }).default ?? namespace;

export const Ok = library.Ok;
export const Err = library.Err;
export type Result<T, E> = namespace.Result<T, E>;
