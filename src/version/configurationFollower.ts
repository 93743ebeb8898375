import type { TextFault } from "../process/jsonc/textFault.ts";
import type { ConfigurationVersion } from "./configurationVersion.ts";
import { MonotonicFollower } from "./monotonicFollower.ts";
import { parseConfiguration } from "./parseConfiguration.ts";

/** Follows the configuration. */
export type ConfigurationFollower = MonotonicFollower<ConfigurationVersion, TextFault[]>;

/** Creates followers of the configuration. */
export const ConfigurationFollower = {
    /**
     * Creates a follower with no configuration in force.
     * @param options - Callback for each accepted configuration.
     */
    create(options: { onAccepted?(accepted: ConfigurationVersion): void; } = {}): ConfigurationFollower {
        return MonotonicFollower.create({
            parse: ({ version, editId, text }) =>
                parseConfiguration(text).map(configuration => ({ version, editId, text, configuration })),
            onAccepted: options.onAccepted,
        });
    },
};
