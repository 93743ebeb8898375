import { setTimeout as sleep } from "node:timers/promises";
import type { KeyValueFaults } from "../../../standins/router/keyValueFaults.ts";
import { createFaultKind } from "../createFaultKind.ts";
import type { FaultKind } from "../faultKind.ts";
import { deploymentFault } from "./deploymentFault.ts";
import type { FaultDuration } from "./faultDuration.ts";
import { faultDurations } from "./faultDurations.ts";
import type { RouterDeployment } from "./routerDeployment.ts";
import type { RouterSoakContext } from "./routerSoakContext.ts";

/** Faults of the store. */
export const routerStoreFaultKinds: Readonly<Record<string, FaultKind<RouterSoakContext>>> = {
    storeRefuses: storeFault(2, faultDurations.long, { refusalStatus: 503 }),
    storeSilent: storeFault(2, faultDurations.long, { isSilent: true }),
    storeLosesAnswers: storeFault(2, faultDurations.long, { losesAnswers: true }),
    // Checks with a time limit hold on during this fault, unlike during those whose names begin with "store".
    waitsLost: deploymentFault(2, ({ deployment }) => deployment.store.losePendingWatches()),
    storeRestored: storeFault(3, faultDurations.long, {}, ({ store }) => store.createCopy(), restoreStore),
    storeCompact: deploymentFault(2, ({ deployment }) => deployment.store.compact()),
};

function storeFault<State = void>(
    weight: number,
    durationMilliseconds: FaultDuration,
    faults: KeyValueFaults,
    prepare: (deployment: RouterDeployment) => State = () => undefined as State,
    finish: (context: RouterSoakContext, state: State) => Promise<void> | void = () => undefined,
): FaultKind<RouterSoakContext> {
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
    await sleep(random.chooseInteger(...faultDurations.short));
    deployment.restoreStore(copy);
}
