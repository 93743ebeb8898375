import { setTimeout as sleep } from "node:timers/promises";
import { ProxyMode } from "../../../standins/network/proxyMode.ts";
import type { EndpointBehaviour } from "../../../standins/router/endpointBehaviour.ts";
import type { KeyValueFaults } from "../../../standins/router/keyValueFaults.ts";
import { createFaultKind } from "../createFaultKind.ts";
import type { FaultKind } from "../faultKind.ts";
import { callKinds } from "./callKind.ts";
import { endpointLimitKind } from "./endpointLimitKind.ts";
import type { RouterDeployment } from "./routerDeployment.ts";
import type { RouterSoakContext } from "./routerSoakContext.ts";
import type { SoakEndpoint } from "./soakEndpoint.ts";
import type { SoakNode } from "./soakNode.ts";

type Kind = FaultKind<RouterSoakContext>;
/** Does something to one target. */
type Act<Target> = (context: RouterSoakContext, target: Target) => Promise<void> | void;
type Span = readonly [number, number];

/** Longest and shortest times of faults, in milliseconds. */
const short: Span = [200, 2_000];
const long: Span = [1_000, 6_000];
const longer: Span = [7_000, 12_000];
const none: Span = [0, 300];
/** How often a caller sends a harmful request, and the time between two sendings in milliseconds. */
const harmfulSendings = 12;
const betweenHarmful: Span = [50, 1_200];
let harmfulSeries = 0;
/** An endpoint that leaves goes on serving this long after the bound, in milliseconds. */
const leavingMilliseconds = 3_000;

const ofNode = createTargetKinds(({ nodes }) => nodes);
const ofEndpoint = createTargetKinds(({ endpoints }) => endpoints);

/** Faults of nodes, of the store, of endpoints, and of the connections between them. */
export const routerFaultKinds: Readonly<Record<string, Kind>> = {
    nodeKill: ofNode(3, none, (context, node) => context.deployment.kill(node), restart),
    nodeStop: ofNode(4, none, (context, node) => context.deployment.terminate(node), restart),
    nodeStopAtStart: ofNode(1, none, stopAtStart, restart),
    nodeFreeze: ofNode(3, long, (_, { process }) => process.signal("SIGSTOP"), thaw),
    nodeReload: ofNode(2, none, (_, { process }) => process.signal("SIGHUP"), () => undefined),
    nodeStoreReset: ofStoreConnection(1, ProxyMode.Reset),
    nodeStoreSilence: ofStoreConnection(2, ProxyMode.Silence),
    nodeStoreCut: ofStoreConnection(1, ProxyMode.CutRequests),
    nodeStoreAnswersLost: ofStoreConnection(1, ProxyMode.CutAnswers),
    nodeStoreDelay: ofStoreConnection(1, ProxyMode.Delay),
    storeRefuses: ofStore(2, long, { refuseWith: 503 }),
    storeSilent: ofStore(2, long, { isSilent: true }),
    storeLosesAnswers: ofStore(2, long, { losesAnswers: true }),
    storeCompact: ofDeployment(2, ({ deployment }) => deployment.store.compact()),
    configurationChange: ofDeployment(2, ({ deployment }) => void deployment.configure()),
    harmfulRequest: ofDeployment(2, sendHarmful),
    endpointReset: ofEndpointConnection(2, ProxyMode.Reset),
    endpointSilence: ofEndpointConnection(2, ProxyMode.Silence),
    endpointCutRequests: ofEndpointConnection(1, ProxyMode.CutRequests),
    endpointCutAnswers: ofEndpointConnection(2, ProxyMode.CutAnswers),
    endpointDelay: ofEndpointConnection(2, ProxyMode.Delay),
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
    [endpointLimitKind.name]: ofBehaviour(3, { requestsPerSecond: endpointLimitKind.requestsPerSecond }, longer),
    endpointCrash: ofEndpoint(3, short, (_, endpoint) => endpoint.crash(), (_, endpoint) => endpoint.restart()),
    endpointLeaves: ofEndpoint(3, none, (_, endpoint) => endpoint.startLeaving(), endAfterLeaving),
};

/** Creates kinds of faults at one of the nodes, or of the endpoints, that is free. */
function createTargetKinds<Target extends { name: string; isTaken: boolean; }>(
    getAll: (deployment: RouterDeployment) => readonly Target[],
) {
    return (weight: number, holdMilliseconds: Span, show: Act<Target>, undo: Act<Target>): Kind =>
        createFaultKind({
            weight,
            holdMilliseconds,
            take: ({ deployment, random }) => {
                const target = random.choose(getAll(deployment).filter(({ isTaken }) => !isTaken));
                if (target !== undefined) {
                    target.isTaken = true;
                }
                return target;
            },
            getName: ({ name }) => name,
            show,
            undo,
            release: (_, target) => {
                target.isTaken = false;
            },
        });
}

function ofStoreConnection(weight: number, mode: ProxyMode): Kind {
    const set = (newMode: ProxyMode): Act<SoakNode> => (_, { storeProxy }) => storeProxy.setMode(newMode);
    return ofNode(weight, long, set(mode), set(ProxyMode.Pass));
}

function ofEndpointConnection(weight: number, mode: ProxyMode): Kind {
    const set = (newMode: ProxyMode): Act<SoakEndpoint> => (_, { proxy }) => proxy.setMode(newMode);
    return ofEndpoint(weight, short, set(mode), set(ProxyMode.Pass));
}

function ofBehaviour(weight: number, behaviour: EndpointBehaviour, hold = short): Kind {
    const set = (next: EndpointBehaviour): Act<SoakEndpoint> => (_, endpoint) => endpoint.setBehaviour(next);
    return ofEndpoint(weight, hold, set(behaviour), set({}));
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

function ofStore(weight: number, holdMilliseconds: Span, faults: KeyValueFaults): Kind {
    return createFaultKind({
        weight,
        holdMilliseconds,
        take: ({ deployment: { store } }) => Object.keys(store.faults).length > 0 ? undefined : store,
        getName: () => "store",
        show: (_, store) => {
            store.faults = faults;
        },
        undo: (_, store) => {
            store.faults = {};
        },
        release: () => undefined,
    });
}

function ofDeployment(weight: number, show: (context: RouterSoakContext) => Promise<void> | void): Kind {
    return {
        weight,
        holdMilliseconds: none,
        prepare: context => ({ target: "store", show: () => show(context), undo: () => undefined }),
    };
}

/** A caller sends a request again and again, which ends each endpoint that begins to run it. */
async function sendHarmful({ callers, random }: RouterSoakContext): Promise<void> {
    const series = harmfulSeries += 1;
    const kind = random.choose(Object.values(callKinds))!;
    for (let count = 0; count < harmfulSendings; count++) {
        void callers.sendHarmful(`harmful-${series}-${count}`, kind, `/${kind}/harmful-${series}`);
        await sleep(random.chooseInteger(...betweenHarmful));
    }
}

async function endAfterLeaving(_: RouterSoakContext, endpoint: SoakEndpoint): Promise<void> {
    await sleep(leavingMilliseconds);
    endpoint.unregister();
    await endpoint.crash();
    await endpoint.start();
}
