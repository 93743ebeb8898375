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
    actionFault(
        weight: number,
        durationMilliseconds: DurationRange,
        inject: FaultAction,
        revert: FaultAction,
    ): FaultKind<FaultContext>;
    /** A fault that the stand-in simulates itself, controlled by its fault settings. */
    settingsFault(
        weight: number,
        durationMilliseconds: DurationRange,
        faults: object,
        undone: object,
    ): FaultKind<FaultContext>;
    /** A fault that suspends the process with SIGSTOP. */
    freezeFault(weight: number, durationMilliseconds: DurationRange): FaultKind<FaultContext>;
}

/**
 * Creates factories of kinds of faults for one type of stand-in.
 * @param take - Reserves a stand-in for a fault; undefined if none is available.
 */
export function createStandinFaultKinds(
    take: (context: FaultContext) => DeployedStandin | undefined,
): StandinFaultKinds {
    const actionFault: StandinFaultKinds["actionFault"] = (weight, durationMilliseconds, inject, revert) =>
        createFaultKind({
            weight,
            durationMilliseconds,
            take,
            getName: ({ name }) => name,
            inject,
            revert,
            release: ({ taken }, { name }) => taken.delete(name),
        });
    const createSetting = (faults: object): FaultAction => ({ deployment }, standin) =>
        deployment.setFaults(standin, faults);
    const createSignal = (signal: NodeJS.Signals): FaultAction => (_context, { process }) => process.signal(signal);
    return {
        actionFault,
        settingsFault: (weight, durationMilliseconds, faults, undone) =>
            actionFault(weight, durationMilliseconds, createSetting(faults), createSetting(undone)),
        freezeFault: (weight, durationMilliseconds) =>
            actionFault(weight, durationMilliseconds, createSignal("SIGSTOP"), createSignal("SIGCONT")),
    };
}
