import { z } from "zod";
import { Err, Ok, type Result } from "../result.ts";

/** What stands in the platform's store as the configuration. */
export interface StoredConfiguration {
    version: number;
    /** Unique name of the edit. */
    editId: string;
    /** The operators' text as written. */
    text: string;
    /** Who applied it. */
    author: string;
    /** Wall-clock time of the edit, in milliseconds since the Unix epoch; for people, no decision uses it. */
    appliedAt: number;
    /**
     * Up to 50 edits that came before, the newest first. An author whose answer was lost recognises here an edit
     * that took effect and was then replaced.
     */
    earlierEdits: { version: number; editId: string; }[];
}

/** A stored value that cannot be read. */
interface StoredConfigurationError {
    /** What is wrong and what to do about it. */
    message: string;
}

const schema: z.ZodType<StoredConfiguration> = z.object({
    version: z.int().min(1),
    editId: z.string().min(1),
    text: z.string(),
    author: z.string(),
    appliedAt: z.number(),
    earlierEdits: z.array(z.object({ version: z.int().min(1), editId: z.string() })).default([]),
});

/** Codec of the configuration in the platform's store. */
export const StoredConfiguration = {
    /** Key under which the configuration stands. */
    key: "foxlead/configuration",

    /** Encodes a configuration as the store's value. */
    encode: (stored: StoredConfiguration): string => JSON.stringify(stored),

    /**
     * Decodes the store's value. It does not check the operators' text. Unknown members are ignored, so that nodes
     * of different releases can work side by side.
     */
    decode: (value: string): Result<StoredConfiguration, StoredConfigurationError> => {
        const parsed = schema.safeParse(parseJson(value));
        if (parsed.success) {
            return Ok(parsed.data);
        }
        const issue = parsed.error.issues[0];
        const reason = issue === undefined ? "it is no JSON" : `${issue.path.join(".") || "value"}: ${issue.message}`;
        return Err({
            message: `The value under ${StoredConfiguration.key} is broken (${reason}). `
                + "Put back the newest value under foxlead/configuration-history/ with the store's own tool.",
        });
    },
};

function parseJson(value: string): unknown {
    try {
        return JSON.parse(value);
    }
    catch {
        return undefined;
    }
}
