/** Whether a call may change the platform's state. Determines how a lost response is reported. */
export const CallEffect = {
    /** The call changes nothing, so a lost response counts as not done. */
    Read: "read",
    /** The call may have taken effect even if its response is lost. */
    Write: "write",
} as const;
export type CallEffect = typeof CallEffect[keyof typeof CallEffect];
