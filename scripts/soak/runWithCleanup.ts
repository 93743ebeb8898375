/** Exit code of a program that was ended by SIGINT. */
const interruptedCode = 130;

/**
 * Runs a soak and ends its processes afterwards, also where it fails or is interrupted.
 * @param end - Ends all processes.
 * @param run - Runs the soak.
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
