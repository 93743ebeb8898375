import { type ConsolaInstance, createConsola, LogLevels, type LogObject } from "consola";
import type { EventLog } from "./eventLog.ts";
import { formatEventLine } from "./formatEventLine.ts";
import type { LogEvent } from "./logEvent.ts";

/** Options of {@link ConsolaEventLog}. */
interface ConsolaEventLogOptions {
    /** Least severe level that is written. */
    level: LogEvent["level"];
    /** Name of this machine; stands in each line. */
    vm: string;
    /** Whether lines are for people; JSON lines otherwise. Whether standard output is a terminal by default. */
    isTerminal?: boolean;
    /** Writes one line, without its line end. Writes to standard output by default. */
    writeLine?(line: string): void;
}

/** Writes each event as one line through consola: readable text on a terminal, JSON otherwise. */
export class ConsolaEventLog implements EventLog {
    private readonly consola: ConsolaInstance;

    private constructor(consola: ConsolaInstance) {
        this.consola = consola;
    }

    /**
     * Creates a log.
     * @param options - Level, machine and output.
     */
    static create(options: ConsolaEventLogOptions): ConsolaEventLog {
        const isTerminal = options.isTerminal ?? process.stdout.isTTY === true;
        const writeLine = options.writeLine ?? (line => process.stdout.write(`${line}\n`));
        const reporter = {
            log: (entry: LogObject) => {
                const [event, fields] = entry.args as [LogEvent, Readonly<Record<string, string | number | boolean>>];
                writeLine(formatEventLine({ event, fields, vm: options.vm, time: entry.date, isTerminal }));
            },
        };
        // By default consola merges lines that repeat within a second; each event must have its own line.
        const consola = createConsola({ level: LogLevels[options.level], reporters: [reporter], throttle: 0 });
        return new ConsolaEventLog(consola);
    }

    /** Writes an event and its fields as one line, where its level is in force. */
    write(event: LogEvent, fields: Readonly<Record<string, string | number | boolean>> = {}): void {
        this.consola[event.level].raw(event, fields);
    }
}
