import { v7 } from "uuid";
import { createClaimKey } from "../../../src/process/claims/createClaimKey.ts";

/** Creates a claim key with an issue time. Equal arguments give equal keys. */
export function createTestKey(issuedAt: number, index = 0): string {
    const random = new Uint8Array(16).fill(index);
    return createClaimKey("north", v7({ msecs: issuedAt, random, seq: 0 }));
}
