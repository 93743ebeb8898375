import { ChildProcess } from "../../scripts/deployment/childProcess.ts";

/** A stand-in in a separate process, so that its processor time isn't measured. */
interface StartedStandin {
    /** host:port on which the stand-in listens. */
    address: string;
    stop(): Promise<unknown>;
}

/**
 * Starts a stand-in and waits until it is ready.
 * @param file - Path of its main file, relative to the root of the repository.
 * @param options - Command-line options other than the port.
 */
export async function startStandin(file: string, options: readonly string[] = []): Promise<StartedStandin> {
    const process = ChildProcess.create({
        name: file,
        command: globalThis.process.execPath,
        options: ["--disable-warning=ExperimentalWarning", file, "--port", "0", ...options],
    });
    const [, address = ""] = await process.waitForLine(/ready on (127\.0\.0\.1:\d+)/);
    return { address, stop: () => process.stop(2_000) };
}
