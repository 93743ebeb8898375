/**
 * Measures the processor time of this process while something runs.
 * @param run - What to measure.
 * @param repetitions - How often it is run; the least time counts, since the compiler and other programs only add.
 * @returns User and system time of one run in microseconds, that of the garbage collector's threads included.
 */
export async function measureProcessor(run: () => unknown, repetitions = 1): Promise<number> {
    let least = Infinity;
    for (let repetition = 0; repetition < repetitions; repetition++) {
        const before = process.cpuUsage();
        await run();
        const { user, system } = process.cpuUsage(before);
        least = Math.min(least, user + system);
    }
    return least;
}
