import type { PacedReader } from "./pacedReader.ts";

/** Options of a {@link ReadPacer}. */
interface ReadPacerOptions {
    /** Runs a callback at the end of the current turn of the event loop. */
    schedule(callback: () => void): void;
}

/** The work that reading from a connection has caused. */
interface ReaderWork {
    /** In this turn. */
    units: number;
    /** In the last turn in which there was any. */
    lastUnits: number;
}

/** Work for one connection in one turn after which it is not read again in that turn. */
const maximumReaderUnits = 1_000;
/** Work for all connections in one turn after which none is read again in that turn. */
const maximumTurnUnits = 4_000;
/** Expected work of a connection that caused little or none before: that of a request. */
const usualUnits = 80;

/**
 * Bounds the work that reading from callers causes in one turn of the event loop, so that timers and the input of others get their turns.
 * Work is counted in units of about a microsecond. Where there is too much of it, connections take turns.
 */
export class ReadPacer {
    /** The pacer of this process. */
    static readonly ofProcess = ReadPacer.create();

    private readonly options: ReadPacerOptions;
    /** Connections that are not paused. */
    private readonly reading = new Map<PacedReader, ReaderWork>();
    /** Paused connections. The one that waits for the longest time is first. */
    private readonly waiting = new Map<PacedReader, ReaderWork>();
    /** Work of connections in this turn. */
    private readonly active = new Set<ReaderWork>();
    private turnUnits = 0;
    private isScheduled = false;

    private constructor(options: ReadPacerOptions) {
        this.options = options;
    }

    /** Creates a pacer without connections. */
    static create(options: ReadPacerOptions = { schedule: setImmediate }): ReadPacer {
        return new ReadPacer(options);
    }

    /** Adds a connection. */
    add(reader: PacedReader): void {
        this.reading.set(reader, { units: 0, lastUnits: 0 });
    }

    /** Removes a connection that has closed. */
    remove(reader: PacedReader): void {
        this.reading.delete(reader);
        this.waiting.delete(reader);
    }

    /** Notes work for a connection. Pauses it if that is enough for this turn, and all if the work of the turn is. */
    note(reader: PacedReader, units: number): void {
        const work = this.reading.get(reader) ?? this.waiting.get(reader);
        if (work === undefined) {
            return;
        }
        work.units += units;
        this.active.add(work);
        this.turnUnits += units;
        this.schedule();
        if (this.turnUnits >= maximumTurnUnits) {
            for (const [each, workOfEach] of this.reading) {
                this.pause(each, workOfEach);
            }
        }
        else if (work.units >= maximumReaderUnits) {
            this.pause(reader, work);
        }
    }

    private pause(reader: PacedReader, work: ReaderWork): void {
        if (this.reading.delete(reader)) {
            this.waiting.set(reader, work);
            reader.pauseTurn();
        }
    }

    private schedule(): void {
        if (!this.isScheduled) {
            this.isScheduled = true;
            this.options.schedule(() => this.endTurn());
        }
    }

    /** Resumes as many waiting connections as the next turn has time for, at least one. */
    private endTurn(): void {
        this.isScheduled = false;
        this.turnUnits = 0;
        for (const work of this.active) {
            work.lastUnits = work.units;
            work.units = 0;
        }
        this.active.clear();
        let expectedUnits = 0;
        for (const [reader, work] of this.waiting) {
            expectedUnits += Math.max(usualUnits, work.lastUnits);
            if (expectedUnits > maximumTurnUnits && expectedUnits > work.lastUnits) {
                break;
            }
            this.waiting.delete(reader);
            this.reading.set(reader, work);
            reader.resumeTurn();
        }
        if (this.waiting.size > 0) {
            this.schedule();
        }
    }
}
