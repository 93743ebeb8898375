import { PerformanceObserver } from "node:perf_hooks";
import type { Clock } from "../clock.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { ProcessorAccount, ProcessorAccountEntry } from "./processorAccount.ts";
import { ProcessorCause } from "./processorCause.ts";

/** Options of a {@link ProcessorAccountReporter}. */
interface ProcessorAccountReporterOptions {
    account: ProcessorAccount;
    clock: Clock;
    log: EventLog;
    metrics: Pick<Metrics, "processorAccountSecondsTotal" | "processorAccountTotal">;
    /** Gets the processor time that this process has used, in milliseconds. */
    getProcessorTime(): number;
}

const reportIntervalMilliseconds = 5_000;
const microsecondsPerMillisecond = 1_000;
const millisecondsPerSecond = 1_000;

/** Writes what a {@link ProcessorAccount} has added since the last report to the log and the metrics. */
export class ProcessorAccountReporter {
    private readonly options: ProcessorAccountReporterOptions;
    private readonly reported = new Map<ProcessorCause, ProcessorAccountEntry>();
    private reportedAt: number;
    private reportedProcessorTime = 0;

    private constructor(options: ProcessorAccountReporterOptions) {
        this.options = options;
        this.reportedAt = options.clock.getMonotonicTime();
    }

    /** Creates a reporter, which does nothing before {@link start}. */
    static create(options: ProcessorAccountReporterOptions): ProcessorAccountReporter {
        return new ProcessorAccountReporter(options);
    }

    /** Starts to report, and to account for garbage collections. */
    start(): void {
        const { account } = this.options;
        const observer = new PerformanceObserver(list => {
            for (const { duration } of list.getEntries()) {
                account.add(ProcessorCause.GarbageCollection, duration);
            }
        });
        observer.observe({ entryTypes: ["gc"] });
        this.schedule();
    }

    /** Writes one report. */
    report(): void {
        const { account, clock, log, metrics, getProcessorTime } = this.options;
        const now = clock.getMonotonicTime();
        const processorTime = getProcessorTime();
        const fields: Record<string, number> = {
            milliseconds: Math.round(now - this.reportedAt),
            processorMilliseconds: Math.round(processorTime - this.reportedProcessorTime),
        };
        for (const [cause, { count, milliseconds }] of account.getEntries()) {
            const earlier = this.reported.get(cause) ?? { count: 0, milliseconds: 0 };
            const added = { count: count - earlier.count, milliseconds: milliseconds - earlier.milliseconds };
            if (added.count === 0 && added.milliseconds === 0) {
                continue;
            }
            fields[`${cause}Count`] = added.count;
            fields[`${cause}Microseconds`] = Math.round(added.milliseconds * microsecondsPerMillisecond);
            metrics.processorAccountTotal.inc({ cause }, added.count);
            metrics.processorAccountSecondsTotal.inc({ cause }, added.milliseconds / millisecondsPerSecond);
            this.reported.set(cause, { count, milliseconds });
        }
        this.reportedAt = now;
        this.reportedProcessorTime = processorTime;
        log.write(events.processorAccount, fields);
    }

    private schedule(): void {
        this.options.clock.setTimer(reportIntervalMilliseconds, () => {
            this.report();
            this.schedule();
        });
    }
}
