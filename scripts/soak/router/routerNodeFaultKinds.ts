import { setTimeout as sleep } from "node:timers/promises";
import { LinkCut } from "../../../standins/network/linkCut.ts";
import { ProxyMode } from "../../../standins/network/proxyMode.ts";
import type { FaultKind } from "../faultKind.ts";
import { createTargetFault } from "./createTargetFault.ts";
import type { FaultAction } from "./faultAction.ts";
import type { FaultDuration } from "./faultDuration.ts";
import { faultDurations } from "./faultDurations.ts";
import type { RouterDeployment } from "./routerDeployment.ts";
import type { RouterSoakContext } from "./routerSoakContext.ts";
import type { SoakNode } from "./soakNode.ts";
import { startAtDeletionKind } from "./startAtDeletionKind.ts";
import { startBurst } from "./startBurst.ts";
import { stopAfterLeaving } from "./stopAfterLeaving.ts";
import { stopBesideLongStreams } from "./stopBesideLongStreams.ts";
import { takeEndpoint } from "./takeEndpoint.ts";

/** Time from the start of a burst to the end of a node, after which the nodes share the capacity by rank. */
const burstSettleMilliseconds = 4_000;
/** Time from the start of a node within which a record is deleted; a node reads the store within it. */
const deletionMilliseconds: FaultDuration = [0, 1_200];

const nodeFault = createTargetFault(({ nodes }) => nodes);

/** Faults of nodes and of their connections to the store and the endpoints. */
export const routerNodeFaultKinds: Readonly<Record<string, FaultKind<RouterSoakContext>>> = {
    nodeKill: nodeFault(3, faultDurations.minimal, (context, node) => context.deployment.kill(node), restart),
    nodeStop: nodeFault(4, faultDurations.minimal, (context, node) => context.deployment.terminate(node), restart),
    nodeStopAtStart: nodeFault(1, faultDurations.minimal, stopAtStart, restart),
    nodeKillInBurst: endInBurst((deployment, node) => deployment.kill(node)),
    nodeStopInBurst: endInBurst((deployment, node) => deployment.terminate(node)),
    nodeStopBesideLongStreams: nodeFault(3, faultDurations.minimal, stopBesideLongStreams, restart),
    [startAtDeletionKind]: nodeFault(3, faultDurations.minimal, startAtDeletion, () => undefined),
    nodeFreeze: nodeFault(3, faultDurations.long, (_, { process }) => process.signal("SIGSTOP"), thaw),
    nodeReload: nodeFault(2, faultDurations.minimal, (_, { process }) => process.signal("SIGHUP"), () => undefined),
    nodeStoreReset: storeConnectionFault(1, ProxyMode.Reset),
    nodeStoreSilence: storeConnectionFault(2, ProxyMode.Silence),
    nodeStoreCut: storeConnectionFault(1, ProxyMode.CutRequests),
    nodeStoreAnswersLost: storeConnectionFault(1, ProxyMode.CutAnswers),
    nodeStoreDelay: storeConnectionFault(1, ProxyMode.Delay),
    nodeLinksSilent: nodeLinksFault(2, LinkCut.Silent),
    nodeLinksReset: nodeLinksFault(2, LinkCut.Reset),
    nodeLinksRefuseNew: nodeLinksFault(1, LinkCut.RefuseNew),
};

function storeConnectionFault(weight: number, mode: ProxyMode): FaultKind<RouterSoakContext> {
    const set = (newMode: ProxyMode): FaultAction<SoakNode> => (_, { storeProxy }) => storeProxy.setMode(newMode);
    return nodeFault(weight, faultDurations.long, set(mode), set(ProxyMode.Pass));
}

/** Cuts a node off from all endpoints, while callers, the store and the other nodes reach it. */
function nodeLinksFault(weight: number, cut: LinkCut): FaultKind<RouterSoakContext> {
    const set = (next: LinkCut): FaultAction<SoakNode> => ({ deployment }, node) => deployment.setLinks(node, next);
    return nodeFault(weight, faultDurations.long, set(cut), set(LinkCut.None));
}

function restart({ deployment }: RouterSoakContext, node: SoakNode): Promise<void> {
    return deployment.restart(node);
}

/** Kills a node, restarts it and kills it again, usually before it is ready. */
async function stopAtStart({ deployment, random }: RouterSoakContext, node: SoakNode): Promise<void> {
    await deployment.kill(node);
    const restarting = deployment.restart(node);
    await sleep(random.chooseInteger(0, 600));
    await deployment.kill(node);
    await restarting;
}

/** Ends a node while it shares the capacity with the others in a burst. */
function endInBurst(
    endNode: (deployment: RouterDeployment, node: SoakNode) => Promise<void>,
): FaultKind<RouterSoakContext> {
    const inject: FaultAction<SoakNode> = async (context, node) => {
        const endBurst = startBurst(context);
        await sleep(burstSettleMilliseconds);
        await endNode(context.deployment, node);
        await sleep(burstSettleMilliseconds);
        endBurst();
    };
    return nodeFault(2, faultDurations.minimal, inject, restart);
}

/** Kills a node and deletes the record of an endpoint, which goes on serving, while the node starts again. */
async function startAtDeletion(context: RouterSoakContext, node: SoakNode): Promise<void> {
    const { deployment, random } = context;
    const endpoint = takeEndpoint(context);
    await deployment.kill(node);
    const restarting = deployment.restart(node);
    await sleep(random.chooseInteger(...deletionMilliseconds));
    endpoint?.unregister();
    await restarting;
    if (endpoint !== undefined) {
        await stopAfterLeaving(context, endpoint);
        endpoint.isTaken = false;
    }
}

function thaw(_context: RouterSoakContext, { process }: SoakNode): void {
    process.signal("SIGCONT");
}
