import type { FaultContext } from "../faultContext.ts";
import type { FaultKind } from "../faultKind.ts";
import { takeDocument } from "../takeStandin.ts";
import { createStandinFaultKinds } from "./createStandinFaultKinds.ts";

const { settingsFault, freezeFault } = createStandinFaultKinds(takeDocument);
const weight = 2;

/** Faults of document services. Their processes are never killed because they hold the records of the executions. */
export const documentFaultKinds: Readonly<Record<string, FaultKind<FaultContext>>> = {
    documentRefusals: settingsFault(weight, [500, 2_000], { refuseNext: 8 }, { refuseNext: 0 }),
    documentResetsBefore: settingsFault(weight, [500, 2_000], { resetBeforeRun: 4 }, { resetBeforeRun: 0 }),
    documentResetsAfter: settingsFault(weight, [500, 2_000], { resetAfterRun: 4 }, { resetAfterRun: 0 }),
    documentSilentConnections: settingsFault(weight, [500, 1_500], { freezeExistingConnections: true }, {}),
    documentSlow: settingsFault(weight, [500, 3_000], { delayMilliseconds: 1_500 }, { delayMilliseconds: 5 }),
    documentFreeze: freezeFault(weight, [500, 4_000]),
};
