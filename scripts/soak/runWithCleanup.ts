/** Exit code of a process that was terminated by SIGINT. */
const interruptedCode = 130;

/**
 * Runs a soak test and cleans up afterwards, also if it fails or is interrupted by SIGINT.
 * @param end - Terminates all processes.
 * @param run - Runs the soak test.
 */
export async function runWithCleanup<T>(end: () => Promise<void>, run: () => Promise<T>): Promise<T> {
    const onInterrupted = () => void end().finally(() => process.exit(interruptedCode));
    process.once("SIGINT", onInterrupted);
    try {
        return await run();
    }
    finally {
        process.off("SIGINT", onInterrupted);
        await end();
    }
}
