import type { LogEvent } from "./logEvent.ts";

/** Writes numbered events. Fields never hold API keys or request bodies. */
export interface EventLog {
    /**
     * Writes one event.
     * @param event - Entry of the catalogue.
     * @param fields - Values that belong to this occurrence.
     */
    write(event: LogEvent, fields?: Readonly<Record<string, string | number | boolean>>): void;
}
