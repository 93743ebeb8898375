import type { z } from "zod";
import type { messageSchemas } from "./messageSchemas.ts";

type FaultChange = z.infer<typeof messageSchemas.faults>;

/** The faults that a test has asked of an engine. */
export class EngineFaults {
    /** Whether the engine is leaving. */
    leaving = false;
    /** Factor on the time of a step. */
    slowFactor = 1;
    /** Whether the step loop stands still. */
    frozen = false;
    private failures = 0;
    private resets = 0;
    private refusals = 0;

    private constructor() {}

    /** Creates a state without faults. */
    static create(): EngineFaults {
        return new EngineFaults();
    }

    /** Applies what a change names and leaves the rest. */
    apply(change: FaultChange): void {
        this.leaving = change.leaving ?? this.leaving;
        this.slowFactor = change.slowFactor ?? this.slowFactor;
        this.frozen = change.freeze ?? this.frozen;
        this.failures = change.failNextPasses ?? this.failures;
        this.resets = change.resetNextBatches ?? this.resets;
        this.refusals = change.refuseNext ?? this.refusals;
    }

    /** Whether this pass is to fail; counts it. */
    takeFailure(): boolean {
        return this.failures > 0 && this.failures-- > 0;
    }

    /** Whether this batch's connection is to be reset; counts it. */
    takeReset(): boolean {
        return this.resets > 0 && this.resets-- > 0;
    }

    /** Whether this pass is to be refused; counts it. */
    takeRefusal(): boolean {
        return this.refusals > 0 && this.refusals-- > 0;
    }
}
