import { setTimeout as sleep } from "node:timers/promises";
import { LinkCut } from "../../../standins/network/linkCut.ts";
import { ProxyMode } from "../../../standins/network/proxyMode.ts";
import type { EndpointBehaviour } from "../../../standins/router/endpointBehaviour.ts";
import type { KeyValueFaults } from "../../../standins/router/keyValueFaults.ts";
import { createFaultKind } from "../createFaultKind.ts";
import type { FaultKind } from "../faultKind.ts";
import { changeWhileStopped } from "./changeWhileStopped.ts";
import { endpointLimitKind } from "./endpointLimitKind.ts";
import { endpointsStandStill } from "./endpointsStandStill.ts";
import { endpointTakesAddress } from "./endpointTakesAddress.ts";
import { harmfulPart } from "./harmfulPart.ts";
import { lateHarmfulBody } from "./lateHarmfulBody.ts";
import { replacementWhileOthersAreFull } from "./replacementWhileOthersAreFull.ts";
import type { RouterDeployment } from "./routerDeployment.ts";
import type { RouterSoakContext } from "./routerSoakContext.ts";
import { sendHarmfulRequest } from "./sendHarmfulRequest.ts";
import { silenceWhileOthersAreFull } from "./silenceWhileOthersAreFull.ts";
import type { SoakEndpoint } from "./soakEndpoint.ts";
import type { SoakNode } from "./soakNode.ts";
import { startAtDeletionKind } from "./startAtDeletionKind.ts";
import { startBurst } from "./startBurst.ts";
import { takeEndpoint } from "./takeEndpoint.ts";
import { unusableRecord } from "./unusableRecord.ts";

type RouterFaultKind = FaultKind<RouterSoakContext>;
/** Injects or reverts a fault of a target. */
type FaultAction<Target> = (context: RouterSoakContext, target: Target) => Promise<void> | void;
/** Minimum and maximum duration, in milliseconds. */
type DurationRange = readonly [number, number];

const shortDuration: DurationRange = [200, 2_000];
const longDuration: DurationRange = [1_000, 6_000];
const extendedDuration: DurationRange = [7_000, 12_000];
const minimalDuration: DurationRange = [0, 300];
/** Time from the start of a burst to the end of a node, after which the nodes share the capacity by rank. */
const burstSettleMilliseconds = 4_000;
/** Time from the start of a node within which a record is deleted; a node reads the store within it. */
const deletionMilliseconds: DurationRange = [0, 1_200];
/** Time that a leaving endpoint keeps serving before it stops; longer than the drain period of the nodes. */
const leavingMilliseconds = 3_000;

const nodeFault = createTargetFault(({ nodes }) => nodes);
const endpointFault = createTargetFault(({ endpoints }) => endpoints);
const stageFault = createTargetFault(({ endpoints }) => endpoints.filter(endpoint => endpoint.isStage()));

/** Faults of nodes, the store, endpoints and the connections between them. */
export const routerFaultKinds: Readonly<Record<string, RouterFaultKind>> = {
    nodeKill: nodeFault(3, minimalDuration, (context, node) => context.deployment.kill(node), restart),
    nodeStop: nodeFault(4, minimalDuration, (context, node) => context.deployment.terminate(node), restart),
    nodeStopAtStart: nodeFault(1, minimalDuration, stopAtStart, restart),
    nodeKillInBurst: endInBurst((deployment, node) => deployment.kill(node)),
    nodeStopInBurst: endInBurst((deployment, node) => deployment.terminate(node)),
    [startAtDeletionKind]: nodeFault(3, minimalDuration, startAtDeletion, () => undefined),
    nodeFreeze: nodeFault(3, longDuration, (_, { process }) => process.signal("SIGSTOP"), thaw),
    nodeReload: nodeFault(2, minimalDuration, (_, { process }) => process.signal("SIGHUP"), () => undefined),
    nodeStoreReset: storeConnectionFault(1, ProxyMode.Reset),
    nodeStoreSilence: storeConnectionFault(2, ProxyMode.Silence),
    nodeStoreCut: storeConnectionFault(1, ProxyMode.CutRequests),
    nodeStoreAnswersLost: storeConnectionFault(1, ProxyMode.CutAnswers),
    nodeStoreDelay: storeConnectionFault(1, ProxyMode.Delay),
    nodeLinksSilent: nodeLinksFault(2, LinkCut.Silent),
    nodeLinksReset: nodeLinksFault(2, LinkCut.Reset),
    nodeLinksRefuseNew: nodeLinksFault(1, LinkCut.RefuseNew),
    storeRefuses: storeFault(2, longDuration, { refusalStatus: 503 }),
    storeSilent: storeFault(2, longDuration, { isSilent: true }),
    storeLosesAnswers: storeFault(2, longDuration, { losesAnswers: true }),
    // Checks with a time limit hold on during this fault, unlike during those whose names begin with "store".
    waitsLost: deploymentFault(2, ({ deployment }) => deployment.store.losePendingWatches()),
    storeRestored: storeFault(3, longDuration, {}, ({ store }) => store.createCopy(), restoreStore),
    storeCompact: deploymentFault(2, ({ deployment }) => deployment.store.compact()),
    changeWhileStopped,
    configurationChange: deploymentFault(2, ({ deployment }) => void deployment.configure()),
    harmfulPart,
    harmfulRequest: deploymentFault(2, context => sendHarmfulRequest(context)),
    lateHarmfulRequest: deploymentFault(2, context => sendHarmfulRequest(context, lateHarmfulBody)),
    burst: {
        weight: 3,
        durationMilliseconds: extendedDuration,
        prepare: context => {
            let end = () => undefined as void;
            return {
                target: "callers",
                inject: () => {
                    end = startBurst(context);
                },
                revert: () => end(),
            };
        },
    },
    endpointReset: endpointConnectionFault(2, ProxyMode.Reset),
    endpointSilence: endpointConnectionFault(2, ProxyMode.Silence),
    endpointCutRequests: endpointConnectionFault(1, ProxyMode.CutRequests),
    endpointCutAnswers: endpointConnectionFault(2, ProxyMode.CutAnswers),
    endpointDelay: endpointConnectionFault(2, ProxyMode.Delay),
    endpointRefuses: behaviourFault(2, { refusalStatus: 503 }),
    endpointPauses: behaviourFault(3, { refusalStatus: 503, pauseSeconds: 2 }, longDuration),
    endpointAnnouncesLeaving: endpointFault(
        3,
        longDuration,
        (_, endpoint) => endpoint.setBehaviour({ isLeaving: true }),
        async (_, endpoint) => {
            await endpoint.crash();
            endpoint.unregister();
            endpoint.setBehaviour({});
            await endpoint.start();
        },
    ),
    endpointLosesAnswers: behaviourFault(2, { losesAnswer: true }),
    endpointFails: behaviourFault(1, { failureStatus: 500 }),
    endpointMixesUp: behaviourFault(1, { answersWrongRequest: true }),
    endpointUnsigned: behaviourFault(1, { isUnsigned: true }),
    endpointExtraBytes: behaviourFault(1, { sendsExtra: true }),
    endpointResetsUnframed: behaviourFault(1, { resetsUnframed: true }),
    endpointForeignLine: behaviourFault(2, foreignBytes("upstream connect error\n\n", false)),
    endpointForeignPage: behaviourFault(2, foreignBytes("<html>\r\n\r\n</html>\r\n\r\n", true)),
    endpointUnnumberedEvent: behaviourFault(2, foreignBytes("data: more\n\n", true)),
    endpointCutsStreams: behaviourFault(2, { cutsAfterEvent: 5 }),
    endpointStallsStreams: behaviourFault(2, { stallsAfterEvent: 7 }),
    endpointSlow: behaviourFault(1, { delayMilliseconds: 700 }),
    endpointSlowStream: behaviourFault(2, { slowness: 6 }, longDuration, stageFault),
    endpointTakesAddress,
    endpointsStandStill,
    silenceWhileOthersAreFull,
    replacementWhileOthersAreFull,
    [endpointLimitKind.name]: behaviourFault(
        3,
        { requestsPerSecond: endpointLimitKind.requestsPerSecond },
        extendedDuration,
    ),
    unusableRecord,
    endpointCrash: endpointFault(
        3,
        shortDuration,
        (_, endpoint) => endpoint.crash(),
        (_, endpoint) => endpoint.restart(),
    ),
    endpointLeaves: endpointFault(3, minimalDuration, (_, endpoint) => endpoint.startLeaving(), stopAfterLeaving),
};

/** Creates the behaviour of an endpoint that sends bytes that are no event in the middle of its streams. */
function foreignBytes(bytes: string, continues: boolean): EndpointBehaviour {
    return { foreignBytes: { afterEvent: 5, bytes, continues } };
}

/** Creates a factory of kinds of faults that reserve a node or an endpoint. */
function createTargetFault<Target extends { name: string; isTaken: boolean; }>(
    getAll: (deployment: RouterDeployment) => readonly Target[],
) {
    return (
        weight: number,
        durationMilliseconds: DurationRange,
        inject: FaultAction<Target>,
        revert: FaultAction<Target>,
    ): RouterFaultKind =>
        createFaultKind({
            weight,
            durationMilliseconds,
            take: ({ deployment, random }) => {
                const target = random.choose(getAll(deployment).filter(({ isTaken }) => !isTaken));
                if (target !== undefined) {
                    target.isTaken = true;
                }
                return target;
            },
            getName: ({ name }) => name,
            inject,
            revert,
            release: (_, target) => {
                target.isTaken = false;
            },
        });
}

function storeConnectionFault(weight: number, mode: ProxyMode): RouterFaultKind {
    const set = (newMode: ProxyMode): FaultAction<SoakNode> => (_, { storeProxy }) => storeProxy.setMode(newMode);
    return nodeFault(weight, longDuration, set(mode), set(ProxyMode.Pass));
}

/** Cuts a node off from all endpoints, while callers, the store and the other nodes reach it. */
function nodeLinksFault(weight: number, cut: LinkCut): RouterFaultKind {
    const set = (next: LinkCut): FaultAction<SoakNode> => ({ deployment }, node) => deployment.setLinks(node, next);
    return nodeFault(weight, longDuration, set(cut), set(LinkCut.None));
}

function endpointConnectionFault(weight: number, mode: ProxyMode): RouterFaultKind {
    const set = (newMode: ProxyMode): FaultAction<SoakEndpoint> => (_, { proxy }) => proxy.setMode(newMode);
    return endpointFault(weight, shortDuration, set(mode), set(ProxyMode.Pass));
}

function behaviourFault(
    weight: number,
    behaviour: EndpointBehaviour,
    hold = shortDuration,
    createFault = endpointFault,
): RouterFaultKind {
    const set = (next: EndpointBehaviour): FaultAction<SoakEndpoint> => (_, endpoint) => endpoint.setBehaviour(next);
    return createFault(weight, hold, set(behaviour), set({}));
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
function endInBurst(endNode: (deployment: RouterDeployment, node: SoakNode) => Promise<void>): RouterFaultKind {
    const inject: FaultAction<SoakNode> = async (context, node) => {
        const endBurst = startBurst(context);
        await sleep(burstSettleMilliseconds);
        await endNode(context.deployment, node);
        await sleep(burstSettleMilliseconds);
        endBurst();
    };
    return nodeFault(2, minimalDuration, inject, restart);
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

function storeFault<State = void>(
    weight: number,
    durationMilliseconds: DurationRange,
    faults: KeyValueFaults,
    prepare: (deployment: RouterDeployment) => State = () => undefined as State,
    finish: (context: RouterSoakContext, state: State) => Promise<void> | void = () => undefined,
): RouterFaultKind {
    return createFaultKind({
        weight,
        durationMilliseconds,
        take: ({ deployment }) => {
            if (deployment.isStoreTaken) {
                return undefined;
            }
            deployment.isStoreTaken = true;
            return { deployment, state: prepare(deployment) };
        },
        getName: () => "store",
        inject: (_, { deployment }) => {
            deployment.store.faults = faults;
        },
        revert: async (context, { deployment, state }) => {
            await finish(context, state);
            deployment.store.faults = {};
        },
        release: (_, { deployment }) => {
            deployment.isStoreTaken = false;
        },
    });
}

/** Makes the store silent for a moment and restores it from an older snapshot. */
async function restoreStore(
    { deployment, random }: RouterSoakContext,
    copy: ReturnType<RouterDeployment["store"]["createCopy"]>,
): Promise<void> {
    deployment.store.faults = { isSilent: true };
    await sleep(random.chooseInteger(...shortDuration));
    deployment.restoreStore(copy);
}

function deploymentFault(
    weight: number,
    inject: (context: RouterSoakContext) => Promise<void> | void,
): RouterFaultKind {
    return {
        weight,
        durationMilliseconds: minimalDuration,
        prepare: context => ({ target: "store", inject: () => inject(context), revert: () => undefined }),
    };
}

async function stopAfterLeaving(_: RouterSoakContext, endpoint: SoakEndpoint): Promise<void> {
    await sleep(leavingMilliseconds);
    endpoint.unregister();
    await endpoint.crash();
    await endpoint.start();
}
