import { ChildProcess } from "../../scripts/deployment/childProcess.ts";

/** A stand-in that runs in a process of its own, so that its processor time is not counted. */
interface StartedStandin {
    /** host:port. */
    address: string;
    stop(): Promise<unknown>;
}

/**
 * Starts a stand-in.
 * @param file - Its program, relative to the root of the repository.
 * @param options - Its options besides the port.
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
