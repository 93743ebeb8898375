import type { FaultKind } from "../faultKind.ts";
import { faultDurations } from "./faultDurations.ts";
import type { RouterSoakContext } from "./routerSoakContext.ts";

/** Creates a kind of fault of the whole deployment, which is over at once. */
export function deploymentFault(
    weight: number,
    inject: (context: RouterSoakContext) => Promise<void> | void,
): FaultKind<RouterSoakContext> {
    return {
        weight,
        durationMilliseconds: faultDurations.minimal,
        prepare: context => ({ target: "store", inject: () => inject(context), revert: () => undefined }),
    };
}
