import type { FaultKind } from "../faultKind.ts";
import { changeWhileStopped } from "./changeWhileStopped.ts";
import { deploymentFault } from "./deploymentFault.ts";
import { faultDurations } from "./faultDurations.ts";
import { harmfulPart } from "./harmfulPart.ts";
import { lateHarmfulBody } from "./lateHarmfulBody.ts";
import { routerEndpointFaultKinds } from "./routerEndpointFaultKinds.ts";
import { routerNodeFaultKinds } from "./routerNodeFaultKinds.ts";
import type { RouterSoakContext } from "./routerSoakContext.ts";
import { routerStoreFaultKinds } from "./routerStoreFaultKinds.ts";
import { sendHarmfulRequest } from "./sendHarmfulRequest.ts";
import { startBurst } from "./startBurst.ts";

/** Faults of nodes, the store, endpoints and the connections between them. A seed means another play if their order changes. */
export const routerFaultKinds: Readonly<Record<string, FaultKind<RouterSoakContext>>> = {
    ...routerNodeFaultKinds,
    ...routerStoreFaultKinds,
    changeWhileStopped,
    configurationChange: deploymentFault(2, ({ deployment }) => void deployment.configure()),
    harmfulPart,
    harmfulRequest: deploymentFault(2, context => sendHarmfulRequest(context)),
    lateHarmfulRequest: deploymentFault(2, context => sendHarmfulRequest(context, lateHarmfulBody)),
    burst: {
        weight: 3,
        durationMilliseconds: faultDurations.extended,
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
    ...routerEndpointFaultKinds,
};
