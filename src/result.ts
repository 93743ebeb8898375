/**
 * Re-exports `ts-results`, which no other module imports. Node.js loads the package as a CommonJS module, whose exports are members of
 * the default export; a bundler loads its ES module, which only has named exports.
 */
import * as namespace from "ts-results";

const library = (namespace as unknown as { default?: typeof namespace; }).default ?? namespace;

export const Ok = library.Ok;
export const Err = library.Err;
export type Result<T, E> = namespace.Result<T, E>;
