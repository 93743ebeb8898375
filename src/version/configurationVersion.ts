import type { Configuration } from "./configuration.ts";

/** An accepted configuration. */
export interface ConfigurationVersion {
    /** Number of the version; 1 for the first; only grows. */
    version: number;
    /** Unique name of the edit that brought it, so that its author can recognise it after a lost answer. */
    editId: string;
    /** The operators' text as written. */
    text: string;
    configuration: Configuration;
}
