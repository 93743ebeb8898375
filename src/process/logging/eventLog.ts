import type { LogEvent } from "./logEvent.ts";

/** Log of numbered events. Fields must never contain API keys or request bodies. */
export interface EventLog {
    /**
     * Writes one event.
     * @param event - Event from the catalogue.
     * @param fields - Details of this occurrence.
     */
    write(event: LogEvent, fields?: Readonly<Record<string, string | number | boolean>>): void;
}
