import { ProxyMode } from "../../../standins/network/proxyMode.ts";
import type { EndpointBehaviour } from "../../../standins/router/endpointBehaviour.ts";
import type { FaultKind } from "../faultKind.ts";
import { createTargetFault } from "./createTargetFault.ts";
import { endpointLimitKind } from "./endpointLimitKind.ts";
import { endpointsStandStill } from "./endpointsStandStill.ts";
import { endpointTakesAddress } from "./endpointTakesAddress.ts";
import type { FaultAction } from "./faultAction.ts";
import type { FaultDuration } from "./faultDuration.ts";
import { faultDurations } from "./faultDurations.ts";
import { lateBeginWhileOthersAreFree } from "./lateBeginWhileOthersAreFree.ts";
import { replacementWhileOthersAreFull } from "./replacementWhileOthersAreFull.ts";
import type { RouterSoakContext } from "./routerSoakContext.ts";
import { silenceWhileOthersAreFull } from "./silenceWhileOthersAreFull.ts";
import type { SoakEndpoint } from "./soakEndpoint.ts";
import { stopAfterLeaving } from "./stopAfterLeaving.ts";
import { streamsBreakOff } from "./streamsBreakOff.ts";
import { unusableRecord } from "./unusableRecord.ts";

const endpointFault = createTargetFault(({ endpoints }) => endpoints);
const stageFault = createTargetFault(({ endpoints }) => endpoints.filter(endpoint => endpoint.isStage()));

/** Faults of endpoints and of their connections. */
export const routerEndpointFaultKinds: Readonly<Record<string, FaultKind<RouterSoakContext>>> = {
    endpointReset: endpointConnectionFault(2, ProxyMode.Reset),
    endpointSilence: endpointConnectionFault(2, ProxyMode.Silence),
    endpointCutRequests: endpointConnectionFault(1, ProxyMode.CutRequests),
    endpointCutAnswers: endpointConnectionFault(2, ProxyMode.CutAnswers),
    endpointDelay: endpointConnectionFault(2, ProxyMode.Delay),
    endpointRefuses: behaviourFault(2, { refusalStatus: 503 }),
    endpointPauses: behaviourFault(3, { refusalStatus: 503, pauseSeconds: 2 }, faultDurations.long),
    endpointAnnouncesLeaving: endpointFault(
        3,
        faultDurations.long,
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
    endpointSlowStream: behaviourFault(2, { slowness: 6 }, faultDurations.long, stageFault),
    endpointTakesAddress,
    endpointsStandStill,
    silenceWhileOthersAreFull,
    replacementWhileOthersAreFull,
    lateBeginWhileOthersAreFree,
    [endpointLimitKind.name]: behaviourFault(
        3,
        { requestsPerSecond: endpointLimitKind.requestsPerSecond },
        faultDurations.extended,
    ),
    unusableRecord,
    endpointCrash: endpointFault(
        3,
        faultDurations.short,
        (_, endpoint) => endpoint.crash(),
        (_, endpoint) => endpoint.restart(),
    ),
    endpointLeaves: endpointFault(
        3,
        faultDurations.minimal,
        (_, endpoint) => endpoint.startLeaving(),
        stopAfterLeaving,
    ),
    streamsBreakOff,
};

/** Creates the behaviour of an endpoint that sends bytes that are no event in the middle of its streams. */
function foreignBytes(bytes: string, continues: boolean): EndpointBehaviour {
    return { foreignBytes: { afterEvent: 5, bytes, continues } };
}

function endpointConnectionFault(weight: number, mode: ProxyMode): FaultKind<RouterSoakContext> {
    const set = (newMode: ProxyMode): FaultAction<SoakEndpoint> => (_, { proxy }) => proxy.setMode(newMode);
    return endpointFault(weight, faultDurations.short, set(mode), set(ProxyMode.Pass));
}

function behaviourFault(
    weight: number,
    behaviour: EndpointBehaviour,
    hold: FaultDuration = faultDurations.short,
    createFault = endpointFault,
): FaultKind<RouterSoakContext> {
    const set = (next: EndpointBehaviour): FaultAction<SoakEndpoint> => (_, endpoint) => endpoint.setBehaviour(next);
    return createFault(weight, hold, set(behaviour), set({}));
}
