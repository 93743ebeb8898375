import type { z } from "zod";
import type { messageSchemas } from "./messageSchemas.ts";

type FaultChange = z.infer<typeof messageSchemas.faults>;

/** Faults that a test has set on an engine. */
export class EngineFaults {
    /** Whether the engine is leaving. */
    leaving = false;
    /** Factor by which the duration of a step is multiplied. */
    slowFactor = 1;
    /** Whether the step loop is paused. */
    frozen = false;
    private remainingFailures = 0;
    private remainingResets = 0;
    private remainingRefusals = 0;

    private constructor() {}

    /** Creates a state without faults. */
    static create(): EngineFaults {
        return new EngineFaults();
    }

    /** Applies the faults that are set in a change; the others keep their values. */
    apply(change: FaultChange): void {
        this.leaving = change.leaving ?? this.leaving;
        this.slowFactor = change.slowFactor ?? this.slowFactor;
        this.frozen = change.freeze ?? this.frozen;
        this.remainingFailures = change.failNextPasses ?? this.remainingFailures;
        this.remainingResets = change.resetNextBatches ?? this.remainingResets;
        this.remainingRefusals = change.refuseNext ?? this.remainingRefusals;
    }

    /** Gets if the current pass must fail, and decrements the number of remaining failures. */
    consumeFailure(): boolean {
        return this.remainingFailures > 0 && this.remainingFailures-- > 0;
    }

    /** Gets if the connection of the current batch must be reset, and decrements the number of remaining resets. */
    consumeReset(): boolean {
        return this.remainingResets > 0 && this.remainingResets-- > 0;
    }

    /** Gets if the current pass must be refused, and decrements the number of remaining refusals. */
    consumeRefusal(): boolean {
        return this.remainingRefusals > 0 && this.remainingRefusals-- > 0;
    }
}
