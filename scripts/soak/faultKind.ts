/** A fault that is ready to be injected into its target. */
interface PreparedFault {
    /** Name of the process, or `platform`. */
    target: string;
    /** Injects the fault. */
    inject(): Promise<void> | void;
    /** Reverts the fault; resolves once the target is restored. */
    revert(): Promise<void> | void;
}

/** A kind of fault that acts on a context. */
export interface FaultKind<Context> {
    /** Relative probability of being chosen. */
    weight: number;
    /** Minimum and maximum duration of the fault, in milliseconds. */
    durationMilliseconds: readonly [number, number];
    /** Whether other faults are injected while this one is active. */
    isInBackground?: boolean;
    /** Chooses a target; undefined if none is available. */
    prepare(context: Context): PreparedFault | undefined;
}
