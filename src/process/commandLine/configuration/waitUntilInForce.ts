import type { Result } from "../../../result.ts";
import type { NodeStatus } from "../../admin/nodeStatus.ts";
import type { Clock } from "../../clock.ts";

const pollIntervalMilliseconds = 500;
const deadState = "dead";

interface WaitOptions {
    /** Version that must be in force. */
    version: number;
    /** Addresses of the admin listeners of the nodes to poll. */
    addresses: readonly string[];
    timeoutMilliseconds: number;
    clock: Clock;
    /** Fetches the status of a node. */
    fetchStatus(address: string): Promise<Result<NodeStatus, string>>;
    /** Called with a line of text when the progress has changed. */
    printProgress(line: string): void;
}

/**
 * Waits until a version is in force on the polled nodes and on all members that they see.
 * @param options - Version, nodes and timeout.
 * @returns The names or addresses of the nodes on which it is not in force at the end; empty on success.
 */
export async function waitUntilInForce(options: WaitOptions): Promise<string[]> {
    const { clock, version } = options;
    const deadline = clock.getMonotonicTime() + options.timeoutMilliseconds;
    let lastLine = "";
    for (;;) {
        const versions = await readVersions(options);
        const missing = [...versions].filter(([, nodeVersion]) => nodeVersion < version).map(([node]) => node).sort();
        const line = `Version ${version} is in force on ${versions.size - missing.length} of ${versions.size} nodes`
            + (missing.length === 0 ? "." : `; waiting for ${missing.join(", ")}.`);
        if (line !== lastLine) {
            options.printProgress(line);
            lastLine = line;
        }
        if (missing.length === 0 || clock.getMonotonicTime() >= deadline) {
            return missing;
        }
        await new Promise<void>(resolve => clock.setTimer(pollIntervalMilliseconds, resolve));
    }
}

/** Gets the version of each node. A node's own report takes precedence over what other nodes know of it. */
async function readVersions({ addresses, fetchStatus }: WaitOptions): Promise<Map<string, number>> {
    const answers = await Promise.all(addresses.map(fetchStatus));
    const ownVersions = new Map<string, number>();
    const reportedVersions = new Map<string, number>();
    for (const [index, answer] of answers.entries()) {
        if (answer.err) {
            ownVersions.set(addresses[index] ?? "", -1);
            continue;
        }
        ownVersions.set(answer.val.vm, answer.val.configurationVersion);
        for (const member of answer.val.members) {
            if (member.state !== deadState) {
                reportedVersions.set(
                    member.vm,
                    Math.max(member.configurationVersion, reportedVersions.get(member.vm) ?? 0),
                );
            }
        }
    }
    return new Map([...reportedVersions, ...ownVersions]);
}
