import type { FaultTimeline } from "./faultTimeline.ts";
import type { LogTail } from "./logTail.ts";

/** A broken promise. */
export interface Violation {
    kind: string;
    message: string;
    /** Faults that were shown, with their times from the violation's start in milliseconds. */
    faults: string;
    /** Log lines of the nodes around it. */
    lines: readonly string[];
}

/** Where a violation was seen. */
interface ViolationSpan {
    kind: string;
    message: string;
    /** Wall-clock times in milliseconds. */
    from: number;
    to: number;
    /** Names of the processes whose log is shown; all nodes where undefined. */
    names?: readonly string[];
}

const marginMilliseconds = 1_500;
/** Violations of one kind that are shown with their log. */
const maximumShownOfKind = 5;

/** The broken promises that were seen from outside. */
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

    /** Adds a violation with what was going on then. */
    add({ kind, message, from, to, names = ["node-"] }: ViolationSpan): void {
        const isShown = this.found.filter(other => other.kind === kind).length < maximumShownOfKind;
        if (isShown) {
            this.print(`VIOLATION ${kind}: ${message}`);
        }
        this.found.push({
            kind,
            message,
            faults: this.timeline.describe(from, to),
            lines: isShown ? this.log.getAround(names, from - marginMilliseconds, to + marginMilliseconds) : [],
        });
    }

    /** Adds a violation that is seen at this moment. */
    addNow(kind: string, message: string, names?: readonly string[]): void {
        const now = Date.now();
        this.add({ kind, message, from: now, to: now, names });
    }

    getAll(): readonly Violation[] {
        return this.found;
    }
}
