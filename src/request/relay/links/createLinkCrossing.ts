import type { LinkCrossing } from "./linkCrossing.ts";
import type { LinkGate } from "./linkGate.ts";

/** A stream at the gate of a link that it uses. */
interface GatedStream {
    gate: LinkGate;
    stream: ReturnType<LinkGate["add"]>;
}

/**
 * Creates the observation of a stream that is sent over links, until its first event arrives or another cause of its delay is known.
 * @param streams - The stream at each link that it uses.
 * @param onFirstEvent - Called with the monotonic time of its first event, in milliseconds.
 */
export function createLinkCrossing(
    streams: readonly GatedStream[],
    onFirstEvent: (at: number) => void,
): LinkCrossing {
    let isWaiting = true;
    const endWait = (record: (stream: GatedStream) => void) => {
        isWaiting = false;
        for (const stream of streams) {
            record(stream);
        }
    };
    return {
        noteEvent: at => {
            if (isWaiting) {
                onFirstEvent(at);
                endWait(({ gate, stream }) => gate.removeAnswered(stream, at));
            }
        },
        noteOtherCause: () => endWait(({ gate, stream }) => gate.removeUnrelated(stream)),
        isQueued: () => isWaiting && streams.some(({ gate, stream }) => gate.isQueued(stream)),
        end: at => {
            if (isWaiting) {
                endWait(({ gate, stream }) => gate.removeUnanswered(stream, at));
            }
        },
    };
}
