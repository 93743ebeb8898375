import type { FaultTimeline } from "./faultTimeline.ts";
import type { LogTail } from "./logTail.ts";

/** A violated invariant. */
export interface Violation {
    kind: string;
    message: string;
    /** Faults during the violation, with their times relative to its start in milliseconds. */
    faults: string;
    /** Log lines around the violation. */
    lines: readonly string[];
}

/** A violation with the time span and the processes that it concerns. */
interface ViolationOptions {
    kind: string;
    message: string;
    /** Wall-clock times in milliseconds. */
    from: number;
    to: number;
    /** Prefixes of the names of the processes whose log lines are included; all nodes if undefined. */
    names?: readonly string[];
}

const logMarginMilliseconds = 1_500;
/** Violations of each kind that are printed and reported with log lines. */
const maximumShownPerKind = 5;

/** Collects the violations of a soak test. */
export class Violations {
    private readonly timeline: FaultTimeline;
    private readonly log: LogTail;
    private readonly print: (line: string) => void;
    private readonly found: Violation[] = [];

    private constructor(timeline: FaultTimeline, log: LogTail, print: (line: string) => void) {
        this.timeline = timeline;
        this.log = log;
        this.print = print;
    }

    /** Creates an empty list. */
    static create(timeline: FaultTimeline, log: LogTail, print: (line: string) => void): Violations {
        return new Violations(timeline, log, print);
    }

    /** Adds a violation with the faults and log lines of its time span. */
    add({ kind, message, from, to, names = ["node-"] }: ViolationOptions): void {
        const isShown = this.found.filter(other => other.kind === kind).length < maximumShownPerKind;
        if (isShown) {
            this.print(`VIOLATION ${kind}: ${message}`);
        }
        this.found.push({
            kind,
            message,
            faults: this.timeline.describe(from, to),
            lines: isShown ? this.log.getAround(names, from - logMarginMilliseconds, to + logMarginMilliseconds) : [],
        });
    }

    /** Adds a violation that occurs now. */
    addNow(kind: string, message: string, names?: readonly string[]): void {
        const now = Date.now();
        this.add({ kind, message, from: now, to: now, names });
    }

    getAll(): readonly Violation[] {
        return this.found;
    }
}
