import type { DeployedNode, LocalDeployment } from "../deployment/localDeployment.ts";
import type { FaultTimeline } from "./faultTimeline.ts";
import { fetchText } from "./fetchText.ts";
import type { SeededRandom } from "./seededRandom.ts";
import type { Violations } from "./violations.ts";

/** A node and its state in the soak test. */
export interface FleetNode {
    node: DeployedNode;
    /** Wall-clock time of the start, in milliseconds. */
    startedAt: number;
    /** Whether the load balancer sends requests to the node. */
    isInRotation: boolean;
    /** Whether the node has an active fault or is being stopped. */
    isTaken: boolean;
    /** Whether the process is expected to exit. */
    isEnding: boolean;
    isStopped: boolean;
}

const healthCheckIntervalMilliseconds = 200;
const healthCheckTimeoutMilliseconds = 400;
/** Consecutive failed health checks after which the load balancer removes a node from the rotation. */
const maximumFailures = 2;

/** The nodes behind a simulated load balancer that polls /readyz, as the platform's load balancer does. */
export class NodeFleet {
    private readonly deployment: LocalDeployment;
    private readonly timeline: FaultTimeline;
    private readonly violations: Violations;
    private readonly all: FleetNode[] = [];
    private readonly failures = new Map<FleetNode, number>();
    private timer: NodeJS.Timeout | undefined;

    private constructor(deployment: LocalDeployment, timeline: FaultTimeline, violations: Violations) {
        this.deployment = deployment;
        this.timeline = timeline;
        this.violations = violations;
    }

    /** Creates a fleet of the nodes of a deployment and starts the health checks. */
    static create(deployment: LocalDeployment, timeline: FaultTimeline, violations: Violations): NodeFleet {
        const fleet = new NodeFleet(deployment, timeline, violations);
        for (const node of deployment.nodes) {
            fleet.add(node, true);
        }
        fleet.timer = setInterval(() => fleet.checkReadiness(), healthCheckIntervalMilliseconds);
        return fleet;
    }

    /** Gets the nodes whose process is running. */
    getLive(): readonly FleetNode[] {
        return this.all.filter(({ isStopped: hasEnded }) => !hasEnded);
    }

    /** Chooses a node as the load balancer does, avoiding the node named `except` if there is another one. */
    choose(random: SeededRandom, except?: string): DeployedNode {
        const ready = this.getLive().filter(({ isInRotation, isEnding }) => isInRotation && !isEnding);
        const others = ready.filter(({ node }) => node.name !== except);
        const candidates = others.length > 0 ? others : this.getLive();
        return (random.choose(candidates) ?? this.all.at(-1)!).node;
    }

    /** Reserves a node for a fault; undefined if this would leave fewer than two nodes without a fault. */
    take(random: SeededRandom): FleetNode | undefined {
        const free = this.getLive().filter(({ isTaken, isInRotation }) => !isTaken && isInRotation);
        const chosen = random.choose(free);
        if (chosen === undefined || free.length <= 2) {
            return undefined;
        }
        chosen.isTaken = true;
        return chosen;
    }

    /** Starts an additional node. */
    async start(): Promise<void> {
        const fault = this.timeline.start("nodeStart", "node");
        const node = await this.deployment.startNode();
        fault.target = node.name;
        this.add(node, false);
        this.timeline.end(fault);
    }

    /** Kills a node with SIGKILL. */
    async kill(fleetNode: FleetNode): Promise<void> {
        fleetNode.isEnding = true;
        fleetNode.node.process.signal("SIGKILL");
        await fleetNode.node.process.exited;
        await this.remove(fleetNode);
    }

    /** Stops a node gracefully while the load balancer may still send requests to it, and checks its exit code. */
    async stopGracefully(fleetNode: FleetNode): Promise<void> {
        const from = Date.now();
        const { node } = fleetNode;
        fleetNode.isEnding = true;
        const code = await node.process.stop(60_000);
        if (code !== 0) {
            const message = `Node ${node.name} exited with ${code} after a graceful stop.`;
            this.violations.add({ kind: "gracefulStopFailed", message, from, to: Date.now(), names: [node.name] });
        }
        await this.remove(fleetNode);
    }

    /** Stops the health checks. */
    close(): void {
        clearInterval(this.timer);
    }

    private async remove(fleetNode: FleetNode): Promise<void> {
        fleetNode.isStopped = true;
        fleetNode.isInRotation = false;
        await this.deployment.removeNode(fleetNode.node);
    }

    private add(node: DeployedNode, isInRotation: boolean): void {
        const fleetNode: FleetNode = {
            node,
            startedAt: Date.now(),
            isInRotation,
            isTaken: false,
            isEnding: false,
            isStopped: false,
        };
        this.all.push(fleetNode);
        void node.process.exited.then(code => {
            fleetNode.isStopped = true;
            if (!fleetNode.isEnding) {
                const message = `Node ${node.name} exited unexpectedly with ${code}.`;
                this.violations.addNow("nodeCrashed", message, [node.name]);
            }
        });
    }

    private checkReadiness(): void {
        for (const fleetNode of this.getLive()) {
            const { adminAddress } = fleetNode.node;
            void fetchText(`http://${adminAddress}/readyz`, healthCheckTimeoutMilliseconds).then(answer => {
                const failures = answer?.status === 200 ? 0 : (this.failures.get(fleetNode) ?? 0) + 1;
                this.failures.set(fleetNode, failures);
                fleetNode.isInRotation = failures === 0 || (fleetNode.isInRotation && failures < maximumFailures);
            });
        }
    }
}
