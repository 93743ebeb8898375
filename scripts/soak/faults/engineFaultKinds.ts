import type { DeployedStandin } from "../../deployment/localDeployment.ts";
import type { FaultContext } from "../faultContext.ts";
import type { FaultKind } from "../faultKind.ts";
import { takeEngine } from "../takeStandin.ts";

/** Does something to one engine. */
type Act = (context: FaultContext, engine: DeployedStandin) => Promise<void>;

/** Faults of engines but those of leaving. */
export const engineFaultKinds: Readonly<Record<string, FaultKind<FaultContext>>> = {
    engineKill: createKind(6, [500, 5_000], kill, ({ deployment }, engine) => deployment.restartEngine(engine.name)),
    engineFreeze: createKind(6, [300, 6_000], createSignal("SIGSTOP"), createSignal("SIGCONT")),
    engineSilentConnections: createSettingKind(5, [500, 1_500], { freezeExistingConnections: true }, {}),
    engineSlow: createSettingKind(3, [500, 5_000], { slowFactor: 20 }, { slowFactor: 1 }),
    engineResets: createSettingKind(3, [500, 1_500], { resetNextBatches: 6 }, { resetNextBatches: 0 }),
    engineFailures: createSettingKind(3, [500, 1_500], { failNextPasses: 6 }, { failNextPasses: 0 }),
    engineRefusals: createSettingKind(3, [500, 1_500], { refuseNext: 10 }, { refuseNext: 0 }),
};

async function kill(_context: FaultContext, engine: DeployedStandin): Promise<void> {
    engine.process.signal("SIGKILL");
    await engine.process.exited;
}

function createSignal(signal: NodeJS.Signals): Act {
    return (_context, engine) => {
        engine.process.signal(signal);
        return Promise.resolve();
    };
}

function createSettingKind(
    weight: number,
    holdMilliseconds: readonly [number, number],
    faults: object,
    undone: object,
): FaultKind<FaultContext> {
    const set = (setting: object): Act => ({ deployment }, engine) => deployment.setFaults(engine, setting);
    return createKind(weight, holdMilliseconds, set(faults), set(undone));
}

function createKind(
    weight: number,
    holdMilliseconds: readonly [number, number],
    show: Act,
    undo: Act,
): FaultKind<FaultContext> {
    return {
        weight,
        holdMilliseconds,
        prepare: context => {
            const engine = takeEngine(context);
            return engine && {
                target: engine.name,
                show: () => show(context, engine),
                undo: async () => {
                    await undo(context, engine);
                    context.taken.delete(engine.name);
                },
            };
        },
    };
}
