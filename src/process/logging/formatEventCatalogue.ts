import type { LogEvent } from "./logEvent.ts";

/**
 * Formats the catalogue of events as a Markdown page, sorted by number.
 * @param catalogue - Events by name.
 */
export function formatEventCatalogue(catalogue: Readonly<Record<string, LogEvent>>): string {
    const entries = Object.entries(catalogue).sort(([, left], [, right]) => left.number - right.number);
    const rows = entries.map(([name, event]) =>
        `| FL${event.number} | ${event.level} | \`${name}\` | ${event.message.replaceAll("|", "\\|")} |`
    );
    return [
        "# Log events",
        "",
        "Generated from `src/process/logging/events.ts` by `npm run events`; edit that file, not this page.",
        "A number never changes its meaning.",
        "",
        "| Number | Level | Name | Message |",
        "| --- | --- | --- | --- |",
        ...rows,
        "",
    ].join("\n");
}
