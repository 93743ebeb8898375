/** States of a member. */
export const MemberState = {
    /** It responds, or no node has reported otherwise. */
    Alive: "alive",
    /** A node could not reach it. It may still refute the suspicion. */
    Suspect: "suspect",
    /** It completes its requests and is assigned no new work. */
    Leaving: "leaving",
    /** It did not refute a suspicion in time. */
    Dead: "dead",
} as const;
export type MemberState = typeof MemberState[keyof typeof MemberState];
