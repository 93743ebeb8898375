import type { DeployedStandin, LocalDeployment } from "../../deployment/localDeployment.ts";
import { createFaultKind } from "../createFaultKind.ts";
import type { FaultContext } from "../faultContext.ts";
import type { FaultKind } from "../faultKind.ts";
import { raceOperators } from "../operators.ts";

const name = "platform";

/** Faults of the platform stand-in, and concurrent configuration changes by operators. */
export const platformFaultKinds: Readonly<Record<string, FaultKind<FaultContext>>> = {
    platformDown: createKind(4, [500, 7_000], { down: true }, { down: false }),
    platformHang: createKind(3, [500, 5_000], { hang: true }, { hang: false }),
    platformDelay: createKind(3, [500, 5_000], { delayMilliseconds: 300 }, { delayMilliseconds: 0 }),
    platformLostAnswers: createKind(4, [500, 2_000], { loseAnswers: 5 }, { loseAnswers: 0 }),
    platformSilentConnections: createKind(3, [500, 1_500], { silenceOpenConnections: true }, {}),
    configurationRace: {
        weight: 5,
        durationMilliseconds: [0, 500],
        prepare: context => {
            let racing = Promise.resolve();
            return {
                target: name,
                inject: () => {
                    racing = raceOperators(context.deployment, context.watch, context.random);
                },
                revert: () => racing,
            };
        },
    },
};

function createKind(
    weight: number,
    durationMilliseconds: readonly [number, number],
    faults: object,
    undone: object,
): FaultKind<FaultContext> {
    return createFaultKind({
        weight,
        durationMilliseconds,
        take: ({ deployment, taken }) => takePlatform(deployment, taken),
        getName: () => name,
        inject: ({ deployment }, platform) => deployment.setFaults(platform, faults),
        revert: ({ deployment }, platform) => deployment.setFaults(platform, undone),
        release: ({ taken }) => taken.delete(name),
    });
}

function takePlatform({ platform }: LocalDeployment, taken: Set<string>): DeployedStandin | undefined {
    if (taken.has(name)) {
        return undefined;
    }
    taken.add(name);
    return platform;
}
