import * as z from "zod";
import { Err, Ok, type Result } from "../result.ts";

/** The configuration as it is kept in the platform's store. */
export interface StoredConfiguration {
    version: number;
    /** Unique id of the edit. */
    editId: string;
    /** The operators' text, unchanged. */
    text: string;
    /** Name of who applied the edit. */
    author: string;
    /** Wall-clock time of the edit, in milliseconds since the Unix epoch. For information only. */
    appliedAt: number;
    /**
     * Up to 50 earlier edits, the newest first. After a lost response, an author finds out here that the edit took effect and was
     * replaced.
     */
    earlierEdits: { version: number; editId: string; }[];
}

/** Error of a stored value that cannot be decoded. */
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
    /** Key of the configuration. */
    key: "foxlead/configuration",

    /** Encodes a configuration as a value for the store. */
    encode: (stored: StoredConfiguration): string => JSON.stringify(stored),

    /**
     * Decodes a value from the store. It does not validate the operators' text. Unknown members are ignored, so that nodes of
     * different releases can run side by side.
     */
    decode: (value: string): Result<StoredConfiguration, StoredConfigurationError> => {
        const parsed = schema.safeParse(parseJson(value));
        if (parsed.success) {
            return Ok(parsed.data);
        }
        const issue = parsed.error.issues[0];
        const reason = issue === undefined
            ? "it is not valid JSON"
            : `${issue.path.join(".") || "value"}: ${issue.message}`;
        return Err({
            message: `The value of ${StoredConfiguration.key} is invalid (${reason}). `
                + "Restore the newest value under foxlead/configuration-history/ with the store's own tool.",
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
