import type { EngineModel } from "../../version/routing/engineModel.ts";
import { getTransferTime } from "./getTransferTime.ts";
import { listCrossings } from "./listCrossings.ts";
import type { RelayStage } from "./relayStage.ts";

/** A stream that has lost a stage, and the two ways to go on with it. */
interface LostStream {
    model: EngineModel;
    /** Tokens that its stages have read and written so far. */
    contextTokens: number;
    /** The chain that has lost a stage. */
    lost: readonly RelayStage[];
    /** Chain with the same first stage to which it can be moved. */
    moved: readonly RelayStage[];
    /** Chain over which it can be sent anew; undefined where there is none, or where it may not be sent again. */
    anew: readonly RelayStage[] | undefined;
    /** Gets how long the pipe from one data centre to another is taken, in milliseconds. */
    getPipeWait(from: string, to: string): number;
}

/**
 * Decides whether a stream that has lost a stage is begun anew over another chain, instead of being moved.
 *
 * The load that it answers: a data centre loses its only endpoint of some layers, and all streams that pass through it are moved
 * at the same moment. New stages read the whole context from the stage before them; where that stands in another data centre,
 * the contexts go over one pipe one after the other, nothing else passes it, and the callers leave. To read the prompts again at
 * endpoints that stand together takes a fraction of that.
 *
 * A function of what it is told.
 */
export function shouldBeginAnew(stream: LostStream): boolean {
    const { anew, moved, lost } = stream;
    if (anew === undefined) {
        return false;
    }
    const keptIds = new Set(lost.map(({ endpoint }) => endpoint.id));
    const movedTime = getPipeTime(stream, moved, index => keptIds.has(moved[index]!.endpoint.id));
    return movedTime > 0 && getPipeTime(stream, anew, () => false) === 0;
}

/** Gets how long a chain's new stages wait for the context that other data centres send them, in milliseconds. */
function getPipeTime(
    { model, contextTokens, getPipeWait }: LostStream,
    stages: readonly RelayStage[],
    isKept: (index: number) => boolean,
): number {
    let time = 0;
    for (const { from, to, toStage } of listCrossings(stages)) {
        if (!isKept(toStage)) {
            time += getPipeWait(from, to) + getTransferTime(model, contextTokens);
        }
    }
    return time;
}
