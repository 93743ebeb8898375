import type { RequestClaim } from "./claimRequest.ts";
import type { RequestEnvironment } from "./requestEnvironment.ts";

/**
 * Runs a claimed request; where it throws, its key does not stay "running" for good but is known as started.
 * @param environment - Parts of the process.
 * @param claim - The claim of the request.
 * @param run - Runs the request.
 */
export async function settleOnThrow<T>(
    environment: RequestEnvironment,
    claim: RequestClaim,
    run: () => Promise<T>,
): Promise<T> {
    try {
        return await run();
    }
    catch (error) {
        if (claim.kind === "granted") {
            environment.claims.settle(claim.key, { kind: "unknown" });
        }
        throw error;
    }
}
