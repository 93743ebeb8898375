/**
 * Measures the processor time that this process takes to run a function.
 * @param run - The function.
 * @param repetitions - Number of runs. The shortest time is returned, since the compiler and other programs only add to it.
 * @returns User and system time of one run in microseconds, including that of the garbage collector's threads.
 */
export async function measureProcessorTime(run: () => unknown, repetitions = 1): Promise<number> {
    let shortest = Infinity;
    for (let repetition = 0; repetition < repetitions; repetition++) {
        const before = process.cpuUsage();
        await run();
        const { user, system } = process.cpuUsage(before);
        shortest = Math.min(shortest, user + system);
    }
    return shortest;
}
