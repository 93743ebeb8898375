import { countNames } from "./countNames.ts";

/** A fault that was injected, and when. */
export interface InjectedFault {
    kind: string;
    /** Name of the process, or `platform`. */
    target: string;
    /** Wall-clock times in milliseconds; `to` is infinite while the fault is active. */
    from: number;
    to: number;
}

/** The history of the injected faults. */
export class FaultTimeline {
    private readonly faults: InjectedFault[] = [];

    private constructor() {}

    /** Creates an empty timeline. */
    static create(): FaultTimeline {
        return new FaultTimeline();
    }

    /** Records the start of a fault. Call {@link FaultTimeline.end} once it is reverted. */
    start(kind: string, target: string): InjectedFault {
        const fault: InjectedFault = { kind, target, from: Date.now(), to: Infinity };
        this.faults.push(fault);
        return fault;
    }

    /** Records the end of a fault. */
    end(fault: InjectedFault): void {
        fault.to = Date.now();
    }

    /** Gets the faults that overlap a time span. */
    getDuring(from: number, to: number): InjectedFault[] {
        return this.faults.filter(fault => fault.from <= to && fault.to >= from);
    }

    /** Gets the faults of a kind. */
    getOfKind(name: string): InjectedFault[] {
        return this.faults.filter(({ kind }) => kind === name);
    }

    /** Gets if a fault of a kind is active. */
    isActive(name: string): boolean {
        return this.getOfKind(name).some(({ to }) => to === Infinity);
    }

    /** Gets if a fault of one of the kinds overlaps a time span, at the target or, if undefined, at any. */
    hasDuring(kinds: readonly string[], from: number, to: number, target?: string): boolean {
        return this.getDuring(from, to).some(fault => {
            return kinds.includes(fault.kind) && (target === undefined || fault.target === target);
        });
    }

    /** Counts the faults by kind. */
    getCounts(): Record<string, number> {
        return countNames(this.faults.map(({ kind }) => kind));
    }

    /** Describes the faults that overlap a time span in one line. */
    describe(from: number, to: number): string {
        const descriptions = this.getDuring(from, to).map(({ kind, target, from: since, to: until }) => {
            const end = until === Infinity ? "" : String(until - from);
            return `${kind} ${target} [${since - from}..${end}]`;
        });
        return descriptions.length === 0 ? "none" : descriptions.join(", ");
    }
}
