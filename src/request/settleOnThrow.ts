import type { RequestClaim } from "./claimRequest.ts";
import type { RequestEnvironment } from "./requestEnvironment.ts";

/**
 * Runs a request and, if that throws, settles its claim as unknown. Otherwise the key would stay "running" forever.
 * @param environment - Services of the process.
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
