import type { Configuration } from "./configuration.ts";

/** An accepted configuration. */
export interface ConfigurationVersion {
    /** Number of the version. Starts at 1 and only increases. */
    version: number;
    /** Unique id of the edit that created the version, by which its author recognises it after a lost response. */
    editId: string;
    /** The operators' text, unchanged. */
    text: string;
    configuration: Configuration;
}
