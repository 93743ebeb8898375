import type { RequestLogLine } from "./requestLogLine.ts";

/**
 * Formats the log lines about a request, each with the time since the first line of the request.
 * @param requestLines - Lines in chronological order.
 */
export function formatRequestLog(requestLines: readonly RequestLogLine[]): string[] {
    const start = requestLines.find(({ isContext }) => !isContext)?.time ?? 0;
    return requestLines.map(({ time, vm, event, message, fields, isContext }) => {
        const offset = `${time - start >= 0 ? "+" : ""}${time - start} ms`.padStart(10);
        const details = Object.entries(fields)
            .filter(([name, value]) => name !== "request" && value !== "")
            .map(([name, value]) => `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`);
        return [offset, isContext ? "(endpoint)" : "request   ", vm, event, message, ...details].join(" ");
    });
}
