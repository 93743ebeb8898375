import { countNames } from "./countNames.ts";

/** A fault that was shown for a time. */
export interface ShownFault {
    kind: string;
    /** Name of the process, or `platform`. */
    target: string;
    /** Wall-clock times in milliseconds; `to` is infinite while the fault is shown. */
    from: number;
    to: number;
}

/** Which faults were shown when. */
export class FaultTimeline {
    private readonly faults: ShownFault[] = [];

    private constructor() {}

    /** Creates an empty timeline. */
    static create(): FaultTimeline {
        return new FaultTimeline();
    }

    /** Notes that a fault is shown from now on; its end is set by {@link FaultTimeline.end}. */
    start(kind: string, target: string): ShownFault {
        const fault: ShownFault = { kind, target, from: Date.now(), to: Infinity };
        this.faults.push(fault);
        return fault;
    }

    /** Notes that a fault is not shown any more. */
    end(fault: ShownFault): void {
        fault.to = Date.now();
    }

    /** Gets the faults that were shown at some time of a span. */
    getDuring(from: number, to: number): ShownFault[] {
        return this.faults.filter(fault => fault.from <= to && fault.to >= from);
    }

    /** Whether a fault of one of some kinds was shown at some time of a span, at one target or at any. */
    hasDuring(kinds: readonly string[], from: number, to: number, target?: string): boolean {
        return this.getDuring(from, to).some(fault => {
            return kinds.includes(fault.kind) && (target === undefined || fault.target === target);
        });
    }

    /** Counts the faults by kind. */
    getCounts(): Record<string, number> {
        return countNames(this.faults.map(({ kind }) => kind));
    }

    /** Describes the faults of a span in one line. */
    describe(from: number, to: number): string {
        const shown = this.getDuring(from, to).map(({ kind, target, from: since, to: until }) => {
            const end = until === Infinity ? "" : String(until - from);
            return `${kind} ${target} [${since - from}..${end}]`;
        });
        return shown.length === 0 ? "none" : shown.join(", ");
    }
}
