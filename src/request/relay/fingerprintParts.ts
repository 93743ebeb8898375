import { createHash } from "node:crypto";
import type { RoutedRequest } from "./routedRequest.ts";

/** Hexadecimal digits of a key: enough to make collisions unlikely, and short enough for lists of them in messages. */
const keyLength = 15;
/** Maximum number of parts of a request that are taken into account, several times what prompts have. Bounds the cost of a request. */
const maximumParts = 64;

/**
 * Gets a key for each part of a prompt that other requests may share: a hash of the service and the part's id. The keys are the
 * same at all nodes, and never equal a request's fingerprint.
 */
export function fingerprintParts({ promptParts }: Pick<RoutedRequest, "promptParts">, service: string): string[] {
    const ids = new Set(promptParts.slice(0, maximumParts));
    return [...ids].map(id => {
        const hash = createHash("sha256").update(JSON.stringify([service, id])).digest("hex");
        return `p${hash.slice(0, keyLength)}`;
    });
}
