import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import type { DeployedStandin } from "../../deployment/localDeployment.ts";
import type { FaultContext } from "../faultContext.ts";
import type { FaultKind } from "../faultKind.ts";
import { checkLeaving } from "../leavingCheck.ts";
import { takeEngine } from "../takeStandin.ts";

/** Sets or clears the leaving signal of an engine. */
type SetLeaving = (context: FaultContext, engine: DeployedStandin, isLeaving: boolean) => Promise<void>;

/** Time after the leaving signal from which no pass may be refused, in milliseconds. */
const settleMilliseconds = 2_600;
const durationMilliseconds = [3_500, 6_000] as const;

/** Engines that leave, signalled by the platform's list of VMs or by the engine itself. */
export const leavingFaultKinds: Readonly<Record<string, FaultKind<FaultContext>>> = {
    engineLeavingByList: createKind(async ({ deployment }, { name, address }, isLeaving) => {
        await deployment.setVm(name, { state: isLeaving ? "leaving" : "live", role: "endpoint", address });
    }),
    engineLeavingItself: createKind(async ({ deployment }, engine, isLeaving) => {
        await deployment.setFaults(engine, { leaving: isLeaving });
    }),
};

function createKind(setLeaving: SetLeaving): FaultKind<FaultContext> {
    return {
        weight: 4,
        durationMilliseconds,
        prepare: context => {
            const engine = takeEngine(context);
            let from = Infinity;
            let refusals = Promise.resolve(0);
            return engine && {
                target: engine.name,
                inject: async () => {
                    await setLeaving(context, engine, true);
                    from = Date.now();
                    refusals = sleep(settleMilliseconds).then(() => countLeavingRefusals(engine.address));
                },
                revert: async () => {
                    await check(context, engine, from, await refusals);
                    await setLeaving(context, engine, false);
                    context.taken.delete(engine.name);
                },
            };
        },
    };
}

async function check(
    context: FaultContext,
    engine: DeployedStandin,
    from: number,
    refusalsAfterSign: number,
): Promise<void> {
    const { timeline, violations, leavingChecks } = context;
    const { name, address } = engine;
    const refusalsAtEnd = await countLeavingRefusals(address);
    const span = { engine: name, address, from, to: Date.now(), refusalsAfterSign, refusalsAtEnd };
    const isChecked = await checkLeaving(span, timeline, violations);
    leavingChecks[isChecked ? "checked" : "skipped"] += 1;
}

/** Counts the passes that an engine has refused because of leaving. */
async function countLeavingRefusals(address: string): Promise<number> {
    const response = await request(`http://${address}/standin/record/summary`);
    const { refused } = await response.body.json() as { refused: Record<string, number>; };
    return refused["leaving"] ?? 0;
}
