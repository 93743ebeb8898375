import type { DeployedStandin } from "../../deployment/localDeployment.ts";
import type { FaultContext } from "../faultContext.ts";
import type { FaultKind } from "../faultKind.ts";
import { takeDocument } from "../takeStandin.ts";

/** Does something to one document service. */
type Act = (context: FaultContext, document: DeployedStandin) => Promise<void> | void;

const weight = 2;

/** Faults of document services. Their processes are never killed, since they hold the record of what was executed. */
export const documentFaultKinds: Readonly<Record<string, FaultKind<FaultContext>>> = {
    documentRefusals: createSettingKind([500, 2_000], { refuseNext: 8 }, { refuseNext: 0 }),
    documentResetsBefore: createSettingKind([500, 2_000], { resetBeforeRun: 4 }, { resetBeforeRun: 0 }),
    documentResetsAfter: createSettingKind([500, 2_000], { resetAfterRun: 4 }, { resetAfterRun: 0 }),
    documentSilentConnections: createSettingKind([500, 1_500], { freezeExistingConnections: true }, {}),
    documentSlow: createSettingKind([500, 3_000], { delayMilliseconds: 1_500 }, { delayMilliseconds: 5 }),
    documentFreeze: createKind(
        [500, 4_000],
        (_context, document) => document.process.signal("SIGSTOP"),
        (_context, document) => document.process.signal("SIGCONT"),
    ),
};

function createSettingKind(
    holdMilliseconds: readonly [number, number],
    faults: object,
    undone: object,
): FaultKind<FaultContext> {
    const set = (setting: object): Act => ({ deployment }, document) => deployment.setFaults(document, setting);
    return createKind(holdMilliseconds, set(faults), set(undone));
}

function createKind(holdMilliseconds: readonly [number, number], show: Act, undo: Act): FaultKind<FaultContext> {
    return {
        weight,
        holdMilliseconds,
        prepare: context => {
            const document = takeDocument(context);
            return document && {
                target: document.name,
                show: () => show(context, document),
                undo: async () => {
                    await undo(context, document);
                    context.taken.delete(document.name);
                },
            };
        },
    };
}
