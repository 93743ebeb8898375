import { createHash, timingSafeEqual } from "node:crypto";

/** The secret that all nodes share, as a header of each call. */
export const peerSecret = {
    /** Name of the header. */
    headerName: "foxlead-peer-secret",

    /** Compares a received secret with the own one, in a time that does not depend on where they differ. */
    isEqual(received: string, own: string): boolean {
        return timingSafeEqual(digest(received), digest(own));
    },
};

function digest(text: string): Buffer {
    return createHash("sha256").update(text).digest();
}
