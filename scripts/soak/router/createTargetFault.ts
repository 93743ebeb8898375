import { createFaultKind } from "../createFaultKind.ts";
import type { FaultKind } from "../faultKind.ts";
import type { FaultAction } from "./faultAction.ts";
import type { FaultDuration } from "./faultDuration.ts";
import type { RouterDeployment } from "./routerDeployment.ts";
import type { RouterSoakContext } from "./routerSoakContext.ts";

/** Creates a factory of kinds of faults that reserve a node or an endpoint. */
export function createTargetFault<Target extends { name: string; isTaken: boolean; }>(
    getAll: (deployment: RouterDeployment) => readonly Target[],
) {
    return (
        weight: number,
        durationMilliseconds: FaultDuration,
        inject: FaultAction<Target>,
        revert: FaultAction<Target>,
    ): FaultKind<RouterSoakContext> =>
        createFaultKind({
            weight,
            durationMilliseconds,
            take: ({ deployment, random }) => {
                const target = random.choose(getAll(deployment).filter(({ isTaken }) => !isTaken));
                if (target !== undefined) {
                    target.isTaken = true;
                }
                return target;
            },
            getName: ({ name }) => name,
            inject,
            revert,
            release: (_, target) => {
                target.isTaken = false;
            },
        });
}
