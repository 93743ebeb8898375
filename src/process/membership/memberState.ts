/** What is believed of a member. */
export const MemberState = {
    /** It answers, or no one has said otherwise. */
    Alive: "alive",
    /** Someone could not reach it; it may still refute that. */
    Suspect: "suspect",
    /** It finishes its requests and takes no new duty. */
    Leaving: "leaving",
    /** It did not refute a suspicion in time. */
    Dead: "dead",
} as const;
export type MemberState = typeof MemberState[keyof typeof MemberState];
