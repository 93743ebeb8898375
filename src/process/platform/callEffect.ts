/** What a call may do to the platform's state; it decides what a lost answer means. */
export const CallEffect = {
    /** The call changes nothing, so a lost answer leaves nothing in doubt. */
    Read: "read",
    /** The call may have changed something when its answer is lost. */
    Write: "write",
} as const;
export type CallEffect = typeof CallEffect[keyof typeof CallEffect];
