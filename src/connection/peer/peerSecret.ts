import { createHash, timingSafeEqual } from "node:crypto";

/** The secret that all nodes share. Each call contains it in a header. */
export const peerSecret = {
    /** Name of the header. */
    headerName: "foxlead-peer-secret",

    /** Compares a received secret with the secret of this node in constant time. */
    isEqual(received: string, own: string): boolean {
        return timingSafeEqual(digest(received), digest(own));
    },
};

function digest(text: string): Buffer {
    return createHash("sha256").update(text).digest();
}
