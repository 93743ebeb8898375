/** A fault that is ready to be shown at a target. */
interface PreparedFault {
    /** Name of the process, or `platform`. */
    target: string;
    /** Shows the fault. */
    show(): Promise<void> | void;
    /** Ends the fault; returns once all is as before. */
    undo(): Promise<void> | void;
}

/** A kind of fault, in a soak whose faults act on a context. */
export interface FaultKind<Context> {
    /** Chance against the other kinds. */
    weight: number;
    /** Shortest and longest time that it is shown, in milliseconds. */
    holdMilliseconds: readonly [number, number];
    /** Chooses a target; undefined where there is none now. */
    prepare(context: Context): PreparedFault | undefined;
}
