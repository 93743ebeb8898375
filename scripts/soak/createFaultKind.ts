import type { FaultKind } from "./faultKind.ts";

/** Options of {@link createFaultKind}. */
interface FaultKindOptions<Context, Target> {
    weight: number;
    /** Minimum and maximum duration of the fault, in milliseconds. */
    durationMilliseconds: readonly [number, number];
    /** Reserves a target that no other fault uses; undefined if none is available. */
    take(context: Context): Target | undefined;
    getName(target: Target): string;
    inject(context: Context, target: Target): Promise<void> | void;
    /** Reverts the fault; resolves once the target is restored. */
    revert(context: Context, target: Target): Promise<void> | void;
    /** Releases the target for other faults. */
    release(context: Context, target: Target): void;
}

/** Creates a kind of fault that reserves its target while the fault is active. */
export function createFaultKind<Context, Target>(options: FaultKindOptions<Context, Target>): FaultKind<Context> {
    const { weight, durationMilliseconds, take, getName, inject, revert, release } = options;
    return {
        weight,
        durationMilliseconds,
        prepare: context => {
            const target = take(context);
            return target && {
                target: getName(target),
                inject: () => inject(context, target),
                revert: async () => {
                    await revert(context, target);
                    release(context, target);
                },
            };
        },
    };
}
