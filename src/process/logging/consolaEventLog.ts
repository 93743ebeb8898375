import { type ConsolaInstance, createConsola, LogLevels, type LogObject } from "consola/core";
import { ProcessorAccount } from "../loop/processorAccount.ts";
import { ProcessorCause } from "../loop/processorCause.ts";
import type { EventLog } from "./eventLog.ts";
import { formatEventLine } from "./formatEventLine.ts";
import type { LogEvent } from "./logEvent.ts";

/** Options of a {@link ConsolaEventLog}. */
interface ConsolaEventLogOptions {
    /** Minimum level of the events that are written. */
    level: LogEvent["level"];
    /** Name of this VM, which is added to each line. */
    vm: string;
    /** Whether to write readable text instead of JSON. By default, whether standard output is a terminal. */
    isTerminal?: boolean;
    /** Writes a line, which is passed without a line terminator. Writes to standard output by default. */
    writeLine?(line: string): void;
}

/** Event log that writes each event as one line through consola: readable text on a terminal, JSON otherwise. */
export class ConsolaEventLog implements EventLog {
    private readonly consola: ConsolaInstance;

    private constructor(consola: ConsolaInstance) {
        this.consola = consola;
    }

    /** Creates a log. */
    static create(options: ConsolaEventLogOptions): ConsolaEventLog {
        const isTerminal = options.isTerminal ?? process.stdout.isTTY === true;
        const writeLine = options.writeLine ?? (line => process.stdout.write(`${line}\n`));
        const reporter = {
            log: (entry: LogObject) => {
                const [event, fields] = entry.args as [LogEvent, Readonly<Record<string, string | number | boolean>>];
                writeLine(formatEventLine({ event, fields, vm: options.vm, time: entry.date, isTerminal }));
            },
        };
        // By default consola merges repeated lines within a second. Disable this, since each event must have its own line.
        const consola = createConsola({ level: LogLevels[options.level], reporters: [reporter], throttle: 0 });
        return new ConsolaEventLog(consola);
    }

    /** Writes an event and its fields as one line if its level is enabled. */
    write(event: LogEvent, fields: Readonly<Record<string, string | number | boolean>> = {}): void {
        ProcessorAccount.ofProcess.run(ProcessorCause.LogLine, () => this.consola[event.level].raw(event, fields));
    }
}
