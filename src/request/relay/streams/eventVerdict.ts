/** How to handle an event of a stream, according to its id. */
export const EventVerdict = {
    /** Forward it to the caller. */
    Pass: "pass",
    /** Skip it, since the caller already has it. */
    Repeat: "repeat",
    /** An earlier event is missing. */
    Gap: "gap",
    /** The request allows no more events. */
    Excess: "excess",
} as const;
export type EventVerdict = typeof EventVerdict[keyof typeof EventVerdict];
