import type { Faults } from "./faults.ts";

/** A change of the faults; what is absent stays as it is. */
export interface FaultsChange extends Partial<Faults> {
    /** Makes the connections that are open now silent for good, while new ones work. */
    silenceOpenConnections?: boolean;
    /** Puts back the keys, leases and revision of the last snapshot, and breaks the watches. */
    restoreOlder?: boolean;
}
