/** What to do with an event of a run. */
export const EventVerdict = {
    /** It goes on to the caller. */
    Pass: "pass",
    /** The caller has it already. */
    Repeat: "repeat",
    /** An event before it is missing. */
    Gap: "gap",
} as const;
export type EventVerdict = typeof EventVerdict[keyof typeof EventVerdict];
