import type { FaultKind } from "./faultKind.ts";

/** Options of a kind of fault. */
interface FaultKindOptions<Context, Target> {
    weight: number;
    /** Shortest and longest time that it is shown, in milliseconds. */
    holdMilliseconds: readonly [number, number];
    /** Chooses a target that no other fault is shown at, and keeps others from it; undefined where there is none now. */
    take(context: Context): Target | undefined;
    getName(target: Target): string;
    show(context: Context, target: Target): Promise<void> | void;
    /** Ends the fault; returns once all is as before. */
    undo(context: Context, target: Target): Promise<void> | void;
    /** Lets other faults have the target. */
    release(context: Context, target: Target): void;
}

/** Creates a kind of fault that is shown at one target, which is kept from other faults meanwhile. */
export function createFaultKind<Context, Target>(options: FaultKindOptions<Context, Target>): FaultKind<Context> {
    const { weight, holdMilliseconds, take, getName, show, undo, release } = options;
    return {
        weight,
        holdMilliseconds,
        prepare: context => {
            const target = take(context);
            return target && {
                target: getName(target),
                show: () => show(context, target),
                undo: async () => {
                    await undo(context, target);
                    release(context, target);
                },
            };
        },
    };
}
