import type { DeployedStandin } from "../../deployment/localDeployment.ts";
import { createFaultKind } from "../createFaultKind.ts";
import type { FaultContext } from "../faultContext.ts";
import type { FaultKind } from "../faultKind.ts";

/** Does something to one stand-in. */
type Act = (context: FaultContext, standin: DeployedStandin) => Promise<void> | void;
/** Shortest and longest time that a fault is shown, in milliseconds. */
type Span = readonly [number, number];

/** Kinds of faults of the stand-ins of one sort. */
interface StandinFaultKinds {
    /** A fault that is shown and ended by functions. */
    ofActs(weight: number, holdMilliseconds: Span, show: Act, undo: Act): FaultKind<FaultContext>;
    /** A fault that the stand-in shows by itself, by its settings. */
    ofSettings(weight: number, holdMilliseconds: Span, faults: object, undone: object): FaultKind<FaultContext>;
    /** The process stands still. */
    ofFreeze(weight: number, holdMilliseconds: Span): FaultKind<FaultContext>;
}

/**
 * Creates the kinds of faults of the stand-ins of one sort.
 * @param take - Chooses one to show a fault at; undefined where there is none now.
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
    const createSetting = (faults: object): Act => ({ deployment }, standin) => deployment.setFaults(standin, faults);
    const createSignal = (signal: NodeJS.Signals): Act => (_context, { process }) => process.signal(signal);
    return {
        ofActs,
        ofSettings: (weight, holdMilliseconds, faults, undone) =>
            ofActs(weight, holdMilliseconds, createSetting(faults), createSetting(undone)),
        ofFreeze: (weight, holdMilliseconds) =>
            ofActs(weight, holdMilliseconds, createSignal("SIGSTOP"), createSignal("SIGCONT")),
    };
}
