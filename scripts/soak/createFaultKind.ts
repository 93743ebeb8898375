import type { FaultKind } from "./faultKind.ts";

/** Options of {@link createFaultKind}. */
interface FaultKindOptions<Context, Target> {
    weight: number;
    /** Minimum and maximum duration of the fault, in milliseconds. */
    holdMilliseconds: readonly [number, number];
    /** Reserves a target that no other fault uses; undefined if none is available. */
    take(context: Context): Target | undefined;
    getName(target: Target): string;
    show(context: Context, target: Target): Promise<void> | void;
    /** Reverts the fault; resolves once the target is restored. */
    undo(context: Context, target: Target): Promise<void> | void;
    /** Releases the target for other faults. */
    release(context: Context, target: Target): void;
}

/** Creates a kind of fault that reserves its target while the fault is active. */
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
