import { setTimeout as sleep } from "node:timers/promises";
import type { EndpointBehaviour } from "../../../standins/router/endpointStandin.ts";
import type { KeyValueFaults } from "../../../standins/router/keyValueStandin.ts";
import type { FaultKind } from "../faultKind.ts";
import { type ProxyMode, proxyModes } from "./loopbackProxy.ts";
import type { SoakNode } from "./routerDeployment.ts";
import type { RouterSoakContext } from "./routerSoakContext.ts";
import type { SoakEndpoint } from "./soakEndpoint.ts";

type Kind = FaultKind<RouterSoakContext>;
type Span = readonly [number, number];

/** Longest and shortest times of faults, in milliseconds. */
const short: Span = [200, 2_000];
const long: Span = [1_000, 6_000];
const none: Span = [0, 300];
/** A record outlives its endpoint by three heartbeats. */
const recordMilliseconds = 3_600;
/** An endpoint that leaves goes on serving this long after the bound, in milliseconds. */
const leavingMilliseconds = 3_000;

/** Faults of nodes, of the store, of endpoints, and of the connections between them. */
export const routerFaultKinds: Readonly<Record<string, Kind>> = {
    nodeKill: ofNode(3, none, (context, node) => context.deployment.kill(node), restart),
    nodeStop: ofNode(4, none, (context, node) => context.deployment.terminate(node), restart),
    nodeStopAtStart: ofNode(1, none, stopAtStart, restart),
    nodeFreeze: ofNode(3, long, (_, { process }) => process.signal("SIGSTOP"), thaw),
    nodeReload: ofNode(2, none, (_, { process }) => process.signal("SIGHUP"), () => undefined),
    nodeStoreReset: ofStoreConnection(1, proxyModes.reset),
    nodeStoreSilence: ofStoreConnection(2, proxyModes.silence),
    nodeStoreCut: ofStoreConnection(1, proxyModes.cutRequests),
    nodeStoreAnswersLost: ofStoreConnection(1, proxyModes.cutAnswers),
    nodeStoreDelay: ofStoreConnection(1, proxyModes.delay),
    storeRefuses: ofStore(2, long, { refuseWith: 503 }),
    storeSilent: ofStore(2, long, { isSilent: true }),
    storeLosesAnswers: ofStore(2, long, { losesAnswers: true }),
    storeCompact: ofDeployment(2, ({ deployment }) => deployment.store.compact()),
    configurationChange: ofDeployment(2, ({ deployment }) => void deployment.configure()),
    endpointReset: ofEndpointConnection(2, proxyModes.reset),
    endpointSilence: ofEndpointConnection(2, proxyModes.silence),
    endpointCutRequests: ofEndpointConnection(1, proxyModes.cutRequests),
    endpointCutAnswers: ofEndpointConnection(2, proxyModes.cutAnswers),
    endpointDelay: ofEndpointConnection(2, proxyModes.delay),
    endpointRefuses: ofBehaviour(2, { refuseWith: 503 }),
    endpointLosesAnswers: ofBehaviour(2, { losesAnswer: true }),
    endpointFails: ofBehaviour(1, { failWith: 500 }),
    endpointMixesUp: ofBehaviour(1, { answersWrongRequest: true }),
    endpointUnsigned: ofBehaviour(1, { isUnsigned: true }),
    endpointExtraBytes: ofBehaviour(1, { sendsExtra: true }),
    endpointResetsUnframed: ofBehaviour(1, { resetsUnframed: true }),
    endpointCutsStreams: ofBehaviour(2, { cutsAfterEvent: 5 }),
    endpointStallsStreams: ofBehaviour(2, { stallsAfterEvent: 7 }),
    endpointSlow: ofBehaviour(1, { delayMilliseconds: 700 }),
    endpointCrash: ofEndpoint(3, short, endpoint => endpoint.crash(), startAfterCrash),
    endpointLeaves: ofEndpoint(3, none, endpoint => endpoint.startLeaving(), endAfterLeaving),
};

function ofNode(
    weight: number,
    holdMilliseconds: Span,
    show: (context: RouterSoakContext, node: SoakNode) => Promise<void> | void,
    undo: (context: RouterSoakContext, node: SoakNode) => Promise<void> | void,
): Kind {
    return {
        weight,
        holdMilliseconds,
        prepare: context => {
            const { nodes } = context.deployment;
            const node = context.random.choose(nodes.filter(({ isTaken }) => !isTaken));
            if (node === undefined) {
                return undefined;
            }
            node.isTaken = true;
            return {
                target: node.name,
                show: () => show(context, node),
                undo: async () => {
                    await undo(context, node);
                    node.isTaken = false;
                },
            };
        },
    };
}

function restart({ deployment }: RouterSoakContext, node: SoakNode): Promise<void> {
    return deployment.restart(node);
}

/** Stops a node, and stops it again before it is ready. */
async function stopAtStart({ deployment, random }: RouterSoakContext, node: SoakNode): Promise<void> {
    await deployment.kill(node);
    const restarting = deployment.restart(node);
    await sleep(random.chooseInteger(0, 600));
    await deployment.kill(node);
    await restarting;
}

function thaw(_context: RouterSoakContext, { process }: SoakNode): void {
    process.signal("SIGCONT");
}

function ofStoreConnection(weight: number, mode: ProxyMode): Kind {
    return ofNode(
        weight,
        long,
        (_, { storeProxy }) => storeProxy.setMode(mode),
        (_, { storeProxy }) => storeProxy.setMode(proxyModes.pass),
    );
}

function ofStore(weight: number, holdMilliseconds: Span, faults: KeyValueFaults): Kind {
    return {
        weight,
        holdMilliseconds,
        prepare: ({ deployment: { store } }) => {
            if (Object.keys(store.faults).length > 0) {
                return undefined;
            }
            return {
                target: "store",
                show: () => {
                    store.faults = faults;
                },
                undo: () => {
                    store.faults = {};
                },
            };
        },
    };
}

function ofDeployment(weight: number, show: (context: RouterSoakContext) => void): Kind {
    return {
        weight,
        holdMilliseconds: none,
        prepare: context => ({ target: "store", show: () => show(context), undo: () => undefined }),
    };
}

function ofEndpoint(
    weight: number,
    holdMilliseconds: Span,
    show: (endpoint: SoakEndpoint) => Promise<void> | void,
    undo: (endpoint: SoakEndpoint) => Promise<void> | void,
): Kind {
    return {
        weight,
        holdMilliseconds,
        prepare: ({ deployment: { endpoints }, random }) => {
            const endpoint = random.choose(endpoints.filter(({ isTaken }) => !isTaken));
            if (endpoint === undefined) {
                return undefined;
            }
            endpoint.isTaken = true;
            return {
                target: endpoint.name,
                show: () => show(endpoint),
                undo: async () => {
                    await undo(endpoint);
                    endpoint.isTaken = false;
                },
            };
        },
    };
}

function ofEndpointConnection(weight: number, mode: ProxyMode): Kind {
    return ofEndpoint(
        weight,
        short,
        ({ proxy }) => proxy.setMode(mode),
        ({ proxy }) => proxy.setMode(proxyModes.pass),
    );
}

function ofBehaviour(weight: number, behaviour: EndpointBehaviour): Kind {
    return ofEndpoint(
        weight,
        short,
        endpoint => endpoint.setBehaviour(behaviour),
        endpoint => endpoint.setBehaviour({}),
    );
}

async function startAfterCrash(endpoint: SoakEndpoint): Promise<void> {
    const removing = sleep(recordMilliseconds).then(() => endpoint.unregister());
    await removing;
    await endpoint.start();
}

async function endAfterLeaving(endpoint: SoakEndpoint): Promise<void> {
    await sleep(leavingMilliseconds);
    endpoint.unregister();
    await endpoint.crash();
    await endpoint.start();
}
