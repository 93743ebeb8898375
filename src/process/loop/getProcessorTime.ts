const microsecondsPerMillisecond = 1_000;

/** Gets the processor time that this process has used, in milliseconds. */
export function getProcessorTime(): number {
    const { user, system } = process.cpuUsage();
    return (user + system) / microsecondsPerMillisecond;
}
