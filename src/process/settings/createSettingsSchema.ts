import * as z from "zod";
import type { NodeSettings } from "./nodeSettings.ts";
import { parseAddress } from "./parseAddress.ts";

const minimumSecretLength = 16;
const maximumTimeoutMilliseconds = 3_600_000;

const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, {
    error: "Write a name of at most 63 letters, digits, dots, hyphens and underscores.",
});
const listener = z.string().refine(text => parseAddress(text) !== undefined, {
    error: "Write an IP address and a port, such as 127.0.0.1:8080 or [::1]:8080.",
});
const address = listener.refine(text => parseAddress(text)?.port !== 0, {
    error: "Write a port from 1 to 65535.",
});
const fileReference = z.strictObject({ file: z.string().min(1) });
const milliseconds = z.int().min(1).max(maximumTimeoutMilliseconds);

/**
 * Creates the schema of the settings.
 * @param readText - Reads a file that the settings refer to; throws if it cannot be read.
 */
export function createSettingsSchema(readText: (file: string) => string): z.ZodType<NodeSettings> {
    const valueOrFile = createValueOrFileSchema(readText);
    const secret = valueOrFile.refine(text => text.length >= minimumSecretLength, {
        error: `Write a secret of at least ${minimumSecretLength} characters.`,
    });
    const tls = z.strictObject({ certificate: valueOrFile, key: valueOrFile });
    const peerTls = tls.extend({ authority: valueOrFile });
    return z.strictObject({
        vm: name,
        dataCentre: name,
        callerListener: listener,
        peerListener: listener,
        adminListener: listener,
        platform: z.strictObject({
            storeAddress: address,
            vmListAddress: address,
            timeoutMilliseconds: milliseconds.default(1000),
        }),
        peers: z.array(address).default([]),
        peerSecret: secret,
        tracing: z.strictObject({
            otlpAddress: z.url({ protocol: /^https?$/ }).optional(),
            sampleRatio: z.number().min(0).max(1).default(0.01),
        }).prefault({}),
        logging: z.strictObject({ level: z.enum(["info", "warn", "error"]).default("info") }).prefault({}),
        shutdownMilliseconds: milliseconds.default(30_000),
        tls: z.strictObject({ callers: tls.optional(), peers: peerTls.optional() }).prefault({}),
        limits: z.strictObject({
            maximumConnections: z.int().min(1).default(10_000),
            maximumHeldBytes: z.int().min(1).default(1_000_000_000),
            maximumRequestsPerConnection: z.int().min(1).default(32),
            headerTimeoutMilliseconds: milliseconds.default(10_000),
            bodyTimeoutMilliseconds: milliseconds.default(30_000),
        }).prefault({}),
    });
}

/** Creates a schema that accepts a string, or `{ "file": PATH }` for the trimmed content of that file. */
function createValueOrFileSchema(readText: (file: string) => string) {
    return z.unknown().transform((value, context): string => {
        if (typeof value === "string" && value !== "") {
            return value;
        }
        const reference = fileReference.safeParse(value);
        if (!reference.success) {
            context.addIssue({ code: "custom", message: 'Write a string, or { "file": PATH }.' });
            return z.NEVER;
        }
        try {
            return readText(reference.data.file).trim();
        }
        catch (error) {
            const reason = error instanceof Error ? error.message : String(error);
            context.addIssue({
                code: "custom",
                message: `The file cannot be read; check its path and permissions: ${reason}.`,
            });
            return z.NEVER;
        }
    });
}
