import { setTimeout as sleep } from "node:timers/promises";
import { createFaultKind } from "../createFaultKind.ts";
import type { FaultKind } from "../faultKind.ts";
import type { RouterSoakContext } from "./routerSoakContext.ts";
import type { SoakNode } from "./soakNode.ts";

/** Fraction of the nodes that are stopped, in a deployment of any size at least one. */
const stoppedFraction = 1 / 3;
/** Time from the stop to the change, in milliseconds. */
const stoppedMilliseconds = [50, 1_200] as const;
/** Time within which a change must be in force, in milliseconds. */
const boundMilliseconds = 2_000;
/** The poll that finds a version in force may begin and end this late on a busy machine. */
const pollSlackMilliseconds = 250;
const pollMilliseconds = 50;
/** Time after a fault from which the bound holds for a node again. */
const settleMilliseconds = 4_000;
const frozenKind = "nodeFreeze";
/** Prefix of the kinds of faults in which the store does not answer all calls. */
const storeKindPrefix = "store";

/**
 * Stops a third of the nodes, which keep their connections, loses the calls that wait for changes and changes the configuration. Checks that the
 * nodes without a fault have the change in force in time.
 */
export const changeWhileStopped: FaultKind<RouterSoakContext> = createFaultKind({
    weight: 3,
    durationMilliseconds: [0, 2_000],
    take: takeNodes,
    getName: nodes => nodes.map(({ name }) => name).join(","),
    inject: changeAndCheck,
    revert: ({ timeline }, nodes) => {
        for (const { name, process } of nodes) {
            process.signal("SIGCONT");
            for (const fault of timeline.getDuring(0, Infinity)) {
                if (fault.kind === frozenKind && fault.target === name && fault.to === Infinity) {
                    timeline.end(fault);
                }
            }
        }
    },
    release: (_, nodes) => {
        for (const node of nodes) {
            node.isTaken = false;
        }
    },
});

function takeNodes({ deployment, random }: RouterSoakContext): SoakNode[] | undefined {
    const nodes: SoakNode[] = [];
    const count = Math.ceil(deployment.nodes.length * stoppedFraction);
    while (nodes.length < count) {
        const node = random.choose(deployment.nodes.filter(({ isTaken }) => !isTaken));
        if (node === undefined) {
            break;
        }
        node.isTaken = true;
        nodes.push(node);
    }
    return nodes.length === 0 ? undefined : nodes;
}

async function changeAndCheck(context: RouterSoakContext, stopped: readonly SoakNode[]): Promise<void> {
    const { deployment, random, timeline, violations } = context;
    for (const { name, process } of stopped) {
        timeline.start(frozenKind, name);
        process.signal("SIGSTOP");
    }
    await sleep(random.chooseInteger(...stoppedMilliseconds));
    deployment.store.losePendingWatches();
    const changedAt = Date.now();
    const version = deployment.configure();
    const running = deployment.nodes.filter(node => !stopped.includes(node));
    await Promise.all(running.map(async node => {
        const isInForce = await waitForVersion(context, node, version, changedAt);
        if (!isInForce && isCalm(context, node, changedAt)) {
            const message = `${node.name} does not have version ${version} in force after ${boundMilliseconds} ms.`;
            violations.add({ kind: "late", message, from: changedAt, to: Date.now(), names: [node.name] });
        }
    }));
}

async function waitForVersion(
    { deployment }: RouterSoakContext,
    node: SoakNode,
    version: number,
    changedAt: number,
): Promise<boolean> {
    while (Date.now() - changedAt <= boundMilliseconds + pollSlackMilliseconds) {
        if ((await deployment.getVersionInForce(node) ?? 0) >= version) {
            return true;
        }
        await sleep(pollMilliseconds);
    }
    return false;
}

/** Checks if neither the store nor the node had a fault around the change. */
function isCalm({ timeline }: RouterSoakContext, { name, endingSince }: SoakNode, changedAt: number): boolean {
    const faults = timeline.getDuring(changedAt - settleMilliseconds, Date.now());
    return endingSince === undefined
        && !faults.some(({ kind, target }) => kind.startsWith(storeKindPrefix) || target.split(",").includes(name));
}
