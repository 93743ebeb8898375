import type { DeployedStandin } from "../../deployment/localDeployment.ts";
import { createFaultKind } from "../createFaultKind.ts";
import type { FaultContext } from "../faultContext.ts";
import type { FaultKind } from "../faultKind.ts";

/** Injects or reverts a fault of a stand-in. */
type FaultAction = (context: FaultContext, standin: DeployedStandin) => Promise<void> | void;
/** Minimum and maximum duration of a fault, in milliseconds. */
type DurationRange = readonly [number, number];

/** Creates kinds of faults for one type of stand-in. */
interface StandinFaultKinds {
    /** A fault that functions inject and revert. */
    ofActs(
        weight: number,
        holdMilliseconds: DurationRange,
        show: FaultAction,
        undo: FaultAction,
    ): FaultKind<FaultContext>;
    /** A fault that the stand-in simulates itself, controlled by its fault settings. */
    ofSettings(
        weight: number,
        holdMilliseconds: DurationRange,
        faults: object,
        undone: object,
    ): FaultKind<FaultContext>;
    /** A fault that suspends the process with SIGSTOP. */
    ofFreeze(weight: number, holdMilliseconds: DurationRange): FaultKind<FaultContext>;
}

/**
 * Creates factories of kinds of faults for one type of stand-in.
 * @param take - Reserves a stand-in for a fault; undefined if none is available.
 */
export function createStandinFaultKinds(
    take: (context: FaultContext) => DeployedStandin | undefined,
): StandinFaultKinds {
    const ofActs: StandinFaultKinds["ofActs"] = (weight, holdMilliseconds, show, undo) =>
        createFaultKind({
            weight,
            holdMilliseconds,
            take,
            getName: ({ name }) => name,
            show,
            undo,
            release: ({ taken }, { name }) => taken.delete(name),
        });
    const createSetting = (faults: object): FaultAction => ({ deployment }, standin) =>
        deployment.setFaults(standin, faults);
    const createSignal = (signal: NodeJS.Signals): FaultAction => (_context, { process }) => process.signal(signal);
    return {
        ofActs,
        ofSettings: (weight, durationMilliseconds, faults, undone) =>
            ofActs(weight, durationMilliseconds, createSetting(faults), createSetting(undone)),
        ofFreeze: (weight, durationMilliseconds) =>
            ofActs(weight, durationMilliseconds, createSignal("SIGSTOP"), createSignal("SIGCONT")),
    };
}
