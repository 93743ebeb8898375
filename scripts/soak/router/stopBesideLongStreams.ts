import { setTimeout as sleep } from "node:timers/promises";
import { callKinds } from "./callKind.ts";
import { longPathPrefix } from "./longPathPrefix.ts";
import { promptService } from "./promptService.ts";
import type { RouterSoakContext } from "./routerSoakContext.ts";
import type { SoakNode } from "./soakNode.ts";
import { startSending } from "./startSending.ts";

/** Factor on the time between events, with which a stream lasts about as long as a node has to stop. */
const slowness = 11;
const pauseMilliseconds = [0, 700] as const;
const changeMilliseconds = [400, 400] as const;
/** Time for which streams run before the stop. */
const leadMilliseconds = 1_500;
let lastRequest = 0;

/** Stops a node while streams run that last longer than its time, others wait for memory, and the configuration changes. */
export async function stopBesideLongStreams(context: RouterSoakContext, node: SoakNode): Promise<void> {
    const { callers, deployment, random } = context;
    const slowed = deployment.endpoints.filter(each => each.getService() === promptService && !each.isTaken);
    for (const endpoint of slowed) {
        endpoint.isTaken = true;
        endpoint.setBehaviour({ slowness });
    }
    const endSending = startSending(random, pauseMilliseconds, () => {
        lastRequest += 1;
        const id = `long-${lastRequest}`;
        void callers.sendWithPatience(id, callKinds.prompt, { path: `${longPathPrefix}${id}` });
    });
    const endChanging = startSending(random, changeMilliseconds, () => void deployment.configure());
    await sleep(leadMilliseconds);
    await deployment.terminate(node);
    endSending();
    endChanging();
    for (const endpoint of slowed) {
        endpoint.setBehaviour({});
        endpoint.isTaken = false;
    }
}
