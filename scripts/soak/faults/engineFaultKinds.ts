import type { DeployedStandin } from "../../deployment/localDeployment.ts";
import type { FaultContext } from "../faultContext.ts";
import type { FaultKind } from "../faultKind.ts";
import { takeEngine } from "../takeStandin.ts";
import { createStandinFaultKinds } from "./createStandinFaultKinds.ts";

const { actionFault, settingsFault, freezeFault } = createStandinFaultKinds(takeEngine);

/** Faults of engines, except for leaving. */
export const engineFaultKinds: Readonly<Record<string, FaultKind<FaultContext>>> = {
    engineKill: actionFault(6, [500, 5_000], kill, ({ deployment }, engine) => deployment.restartEngine(engine.name)),
    engineFreeze: freezeFault(6, [300, 6_000]),
    engineSilentConnections: settingsFault(5, [500, 1_500], { freezeExistingConnections: true }, {}),
    engineSlow: settingsFault(3, [500, 5_000], { slowFactor: 20 }, { slowFactor: 1 }),
    engineResets: settingsFault(3, [500, 1_500], { resetNextBatches: 6 }, { resetNextBatches: 0 }),
    engineFailures: settingsFault(3, [500, 1_500], { failNextPasses: 6 }, { failNextPasses: 0 }),
    engineRefusals: settingsFault(3, [500, 1_500], { refuseNext: 10 }, { refuseNext: 0 }),
};

async function kill(_context: FaultContext, engine: DeployedStandin): Promise<void> {
    engine.process.signal("SIGKILL");
    await engine.process.exited;
}
