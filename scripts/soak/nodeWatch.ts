import { NodeStatus } from "../../src/process/admin/nodeStatus.ts";
import type { FaultTimeline } from "./faultTimeline.ts";
import { fetchText } from "./fetchText.ts";
import type { FleetNode, NodeFleet } from "./nodeFleet.ts";
import type { Violations } from "./violations.ts";

/** A configuration version that the command line has reported as accepted. */
interface AcceptedVersion {
    version: number;
    /** Wall-clock time in milliseconds. */
    at: number;
}

/** The last values that were read from a node. */
interface NodeReading {
    version: number;
    /** Wall-clock time in milliseconds at which each version, or a higher one, was first seen. */
    firstSeen: Map<number, number>;
    invariantFailures: number;
}

const pollIntervalMilliseconds = 200;
const pollTimeoutMilliseconds = 1_000;
/** Time within which an accepted version must be in force; the margin covers the polling interval. */
const inForceLimitMilliseconds = 3_000;
const marginMilliseconds = 500;
/** Faults that make the store or the peers unreachable. */
const platformFaults = ["platformDown", "platformHang", "platformDelay"];
const nodeFaults = ["nodeKill", "nodeFreeze", "nodeGracefulStop"];

/** Polls /status and /metrics of all nodes and checks the configuration versions and the counter of failed invariants. */
export class NodeWatch {
    private readonly fleet: NodeFleet;
    private readonly timeline: FaultTimeline;
    private readonly violations: Violations;
    private readonly readings = new Map<FleetNode, NodeReading>();
    private readonly pending = new Set<FleetNode>();
    private readonly accepted: AcceptedVersion[] = [];
    private readonly timer: NodeJS.Timeout;
    private checkedVersions = 0;
    private highestSeen = 0;

    private constructor(fleet: NodeFleet, timeline: FaultTimeline, violations: Violations) {
        this.fleet = fleet;
        this.timeline = timeline;
        this.violations = violations;
        this.timer = setInterval(() => this.poll(), pollIntervalMilliseconds);
    }

    /** Creates a watch and starts polling. */
    static create(fleet: NodeFleet, timeline: FaultTimeline, violations: Violations): NodeWatch {
        return new NodeWatch(fleet, timeline, violations);
    }

    /** Records a version that was just accepted, and schedules the check that it is in force. */
    addAcceptedVersion(version: number): void {
        const at = Date.now();
        if (this.accepted.some(other => other.version === version)) {
            const message = `Version ${version} was reported as accepted for two edits.`;
            this.violations.addNow("versionTwice", message);
        }
        this.accepted.push({ version, at });
        setTimeout(() => this.checkInForce(version, at), inForceLimitMilliseconds + marginMilliseconds).unref();
    }

    /** Gets the highest version that a node has reported or that was accepted. */
    getHighestVersion(): number {
        return Math.max(this.highestSeen, ...this.accepted.map(({ version }) => version));
    }

    /** Gets the number of accepted versions and of checks of a version at a node. */
    getCounts(): { accepted: number; checked: number; } {
        return { accepted: this.accepted.length, checked: this.checkedVersions };
    }

    /** Checks that all running nodes have the highest version; call it once no faults are active. */
    checkEnd(): void {
        const now = Date.now();
        const highest = this.getHighestVersion();
        for (const fleetNode of this.fleet.getLive()) {
            const version = this.readings.get(fleetNode)?.version ?? 0;
            if (version !== highest) {
                const message = `Node ${fleetNode.node.name} has version ${version} at the end instead of ${highest}.`;
                this.violations.add({ kind: "versionAtEnd", message, from: now - inForceLimitMilliseconds, to: now });
            }
        }
    }

    /** Stops polling. */
    close(): void {
        clearInterval(this.timer);
    }

    private poll(): void {
        for (const fleetNode of this.fleet.getLive()) {
            if (!this.pending.has(fleetNode)) {
                this.pending.add(fleetNode);
                void this.read(fleetNode).finally(() => this.pending.delete(fleetNode));
            }
        }
    }

    private async read(fleetNode: FleetNode): Promise<void> {
        const { adminAddress } = fleetNode.node;
        const status = await fetchText(`http://${adminAddress}/status`, pollTimeoutMilliseconds);
        const metrics = await fetchText(`http://${adminAddress}/metrics`, pollTimeoutMilliseconds);
        if (status === undefined || metrics === undefined) {
            return;
        }
        const reading = this.readings.get(fleetNode) ?? { version: 0, firstSeen: new Map(), invariantFailures: 0 };
        this.readings.set(fleetNode, reading);
        this.checkVersion(fleetNode, reading, NodeStatus.schema.parse(JSON.parse(status.text)).configurationVersion);
        this.checkInvariantFailures(fleetNode, reading, sumCounter(metrics.text, "foxlead_invariant_failures_total"));
    }

    private checkVersion(fleetNode: FleetNode, reading: NodeReading, version: number): void {
        const now = Date.now();
        if (version < reading.version) {
            const message = `Node ${fleetNode.node.name} reverted from version ${reading.version} to ${version}.`;
            this.violations.addNow("versionWentBack", message);
        }
        for (let seen = reading.version + 1; seen <= version; seen += 1) {
            reading.firstSeen.set(seen, now);
        }
        reading.version = version;
        this.highestSeen = Math.max(this.highestSeen, version);
    }

    private checkInvariantFailures(fleetNode: FleetNode, reading: NodeReading, failures: number): void {
        if (failures > reading.invariantFailures) {
            const now = Date.now();
            const message = `Node ${fleetNode.node.name} reports ${failures} failed invariants.`;
            const names = [fleetNode.node.name];
            this.violations.add({ kind: "invariantFailed", message, from: now - 1_000, to: now, names });
        }
        reading.invariantFailures = failures;
    }

    private checkInForce(version: number, acceptedAt: number): void {
        const now = Date.now();
        if (this.timeline.hasDuring(platformFaults, acceptedAt - marginMilliseconds, now)) {
            return;
        }
        for (const fleetNode of this.fleet.getLive()) {
            const { name } = fleetNode.node;
            const hasFault = this.timeline.hasDuring(nodeFaults, acceptedAt - marginMilliseconds, now, name);
            if (hasFault || fleetNode.startedAt > acceptedAt - marginMilliseconds) {
                continue;
            }
            this.checkedVersions += 1;
            const reading = this.readings.get(fleetNode);
            const seenAt = reading?.firstSeen.get(version) ?? Infinity;
            if (seenAt - acceptedAt > inForceLimitMilliseconds + marginMilliseconds) {
                const currentVersion = reading?.version ?? 0;
                const message = `Node ${name} has version ${currentVersion} ${
                    now - acceptedAt
                } ms after version ${version} was accepted.`;
                this.violations.add({ kind: "versionNotInForce", message, from: acceptedAt, to: now });
            }
        }
    }
}

function sumCounter(metrics: string, name: string): number {
    let sum = 0;
    for (const line of metrics.split("\n")) {
        if (line.startsWith(`${name}{`) || line.startsWith(`${name} `)) {
            sum += Number(line.slice(line.lastIndexOf(" ") + 1));
        }
    }
    return sum;
}
