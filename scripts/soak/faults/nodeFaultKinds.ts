import { createFaultKind } from "../createFaultKind.ts";
import type { FaultContext } from "../faultContext.ts";
import type { FaultKind } from "../faultKind.ts";
import type { FleetNode } from "../nodeFleet.ts";

/** Injects or reverts a fault of a node. */
type FaultAction = (context: FaultContext, node: FleetNode) => Promise<void> | void;

/** Faults of nodes, and the graceful stop as in a rolling restart. */
export const nodeFaultKinds: Readonly<Record<string, FaultKind<FaultContext>>> = {
    nodeKill: createKind(5, [0, 4_000], ({ fleet }, node) => fleet.kill(node), startAnother),
    nodeFreeze: createKind(5, [200, 9_000], freeze, thaw),
    nodeGracefulStop: createKind(6, [0, 500], ({ fleet }, node) => fleet.stopGracefully(node), startAnother),
};

function startAnother({ fleet }: FaultContext): Promise<void> {
    return fleet.start();
}

function freeze(_context: FaultContext, { node }: FleetNode): void {
    node.process.signal("SIGSTOP");
}

function thaw(_context: FaultContext, fleetNode: FleetNode): void {
    fleetNode.node.process.signal("SIGCONT");
    fleetNode.isTaken = false;
}

function createKind(
    weight: number,
    durationMilliseconds: readonly [number, number],
    inject: FaultAction,
    revert: FaultAction,
): FaultKind<FaultContext> {
    return createFaultKind({
        weight,
        durationMilliseconds,
        take: ({ fleet, random }) => fleet.take(random),
        getName: ({ node }) => node.name,
        inject,
        revert,
        // A terminated node is not released because another one has replaced it; thaw releases a frozen node.
        release: () => undefined,
    });
}
