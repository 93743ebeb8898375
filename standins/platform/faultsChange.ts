import type { Faults } from "./faults.ts";

/** Change of the faults. Absent faults keep their values. */
export interface FaultsChange extends Partial<Faults> {
    /** Permanently silences the open connections. New connections work. */
    silenceOpenConnections?: boolean;
    /** Restores the keys, leases and revision of the last snapshot, and destroys all watches. */
    restoreOlder?: boolean;
}
