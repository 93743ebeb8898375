/** How sure it is that a suspect crashes endpoints. */
export const SuspectVerdict = {
    /** It may be sent. */
    Free: "free",
    /** It is held back, but for single requests that show whether it is the cause. */
    Unsure: "unsure",
    /** It is held back. */
    Certain: "certain",
} as const;
export type SuspectVerdict = typeof SuspectVerdict[keyof typeof SuspectVerdict];
