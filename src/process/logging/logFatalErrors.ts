import type { EventLog } from "./eventLog.ts";
import { events } from "./events.ts";

/** Logs the error that ends this process. The process ends all the same, since its state may be half changed. */
export function logFatalErrors(log: EventLog): void {
    process.on("uncaughtExceptionMonitor", (error, origin) => {
        log.write(events.nodeFailed, { origin, stack: error.stack ?? String(error) });
    });
}
