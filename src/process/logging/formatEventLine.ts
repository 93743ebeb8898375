import type { LogEvent } from "./logEvent.ts";

/** An event to format. */
interface EventLine {
    event: LogEvent;
    fields: Readonly<Record<string, string | number | boolean>>;
    /** Name of this VM. */
    vm: string;
    time: Date;
    /** Whether to format readable text instead of JSON. */
    isTerminal: boolean;
}

/** Formats an event as one line, without a line terminator. */
export function formatEventLine(line: EventLine): string {
    const time = line.time.toISOString();
    const id = `FL${line.event.number}`;
    if (!line.isTerminal) {
        const { level, message } = line.event;
        return JSON.stringify({ time, level, event: id, message, vm: line.vm, ...prefixReserved(line.fields) });
    }
    const words = [time, line.event.level.toUpperCase().padEnd(5), id, line.event.message, `vm=${line.vm}`];
    for (const [name, value] of Object.entries(line.fields)) {
        words.push(`${name}=${quoteIfNeeded(String(value))}`);
    }
    return words.join(" ");
}

const reservedNames = new Set(["time", "level", "event", "message", "vm"]);

/** Adds a prefix to fields whose names would override the fixed parts of a line. */
function prefixReserved(fields: EventLine["fields"]): EventLine["fields"] {
    const entries = Object.entries(fields);
    return Object.fromEntries(
        entries.map(([name, value]) => [reservedNames.has(name) ? `field.${name}` : name, value]),
    );
}

function quoteIfNeeded(text: string): string {
    return /^[^\s"=\p{Cc}]+$/u.test(text) ? text : JSON.stringify(text);
}
