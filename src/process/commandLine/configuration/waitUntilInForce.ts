import type { Result } from "../../../result.ts";
import type { NodeStatus } from "../../admin/nodeStatus.ts";
import type { Clock } from "../../clock.ts";

const pollMilliseconds = 500;
const deadState = "dead";

interface WaitOptions {
    /** Version that must be in force. */
    version: number;
    /** Admin listeners to ask. */
    addresses: readonly string[];
    timeoutMilliseconds: number;
    clock: Clock;
    /** Asks a node for its status. */
    fetchStatus(address: string): Promise<Result<NodeStatus, string>>;
    /** Takes a line each time that the progress has changed. */
    printProgress(line: string): void;
}

/**
 * Waits until a version is in force on every node: on those that are asked, and on all members that they see.
 * @param options - Version, nodes and time.
 * @returns The names, or addresses, of the nodes that don't have it in force in time; none where all have.
 */
export async function waitUntilInForce(options: WaitOptions): Promise<string[]> {
    const { clock, version } = options;
    const deadline = clock.getMonotonicTime() + options.timeoutMilliseconds;
    let lastLine = "";
    for (;;) {
        const versions = await readVersions(options);
        const missing = [...versions].filter(([, held]) => held < version).map(([node]) => node).sort();
        const line = `Version ${version} is in force on ${versions.size - missing.length} of ${versions.size} nodes`
            + (missing.length === 0 ? "." : `; waiting for ${missing.join(", ")}.`);
        if (line !== lastLine) {
            options.printProgress(line);
            lastLine = line;
        }
        if (missing.length === 0 || clock.getMonotonicTime() >= deadline) {
            return missing;
        }
        await new Promise<void>(resolve => clock.setTimer(pollMilliseconds, resolve));
    }
}

/** Reads each node's version. What a node says of itself beats what others have heard of it. */
async function readVersions({ addresses, fetchStatus }: WaitOptions): Promise<Map<string, number>> {
    const answers = await Promise.all(addresses.map(fetchStatus));
    const own = new Map<string, number>();
    const heard = new Map<string, number>();
    for (const [index, answer] of answers.entries()) {
        if (answer.err) {
            own.set(addresses[index] ?? "", -1);
            continue;
        }
        own.set(answer.val.vm, answer.val.configurationVersion);
        for (const member of answer.val.members) {
            if (member.state !== deadState) {
                heard.set(member.vm, Math.max(member.configurationVersion, heard.get(member.vm) ?? 0));
            }
        }
    }
    return new Map([...heard, ...own]);
}
