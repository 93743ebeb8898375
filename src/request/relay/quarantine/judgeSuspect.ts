import { crashThresholds } from "./crashThresholds.ts";
import { findConvicted } from "./findConvicted.ts";
import type { Suspect } from "./suspect.ts";
import { SuspectVerdict } from "./suspectVerdict.ts";

/**
 * Time after which a crash counts against a part that was answered before. Until then the endpoint may turn out to be alive, and an
 * answer to another request with the part may clear it.
 */
const doubtMilliseconds = 700;
/**
 * So many crashes of endpoints that no node can connect to, one after the other, count at once. Endpoints that fail together for another
 * reason, such as that of a rack, do so within a shorter time.
 */
const seriesCrashes = 4;
const seriesMilliseconds = 200;

/**
 * Judges a suspect by its crashes and by those of the other suspects, as in group testing: each crash has one cause, which is among the
 * suspects of that crash. A part that was answered before is less likely the cause than one that never was.
 * @param suspect - The suspect.
 * @param suspects - All suspects, or those that `mayExplainOthers`.
 * @param now - Monotonic time in milliseconds.
 * @param convicted - The convicted ones of the suspects, if the caller has found them before.
 */
export function judgeSuspect(
    suspect: Suspect,
    suspects: readonly Suspect[],
    now: number,
    convicted: ReadonlySet<Suspect> = findConvicted(suspects),
): SuspectVerdict {
    const { crashes, isPart, wasAnswered } = suspect;
    if (crashes.size < crashThresholds.minimum) {
        return SuspectVerdict.Free;
    }
    if (convicted.has(suspect) || !isPart && crashes.size >= crashThresholds.certain) {
        return SuspectVerdict.Certain;
    }
    const isHeld = wasAnswered
        ? countUnexplained(suspect, suspects, convicted, now) >= crashThresholds.minimum
        : !suspects.some(other => explainsAll(other, suspect, convicted));
    return isHeld ? SuspectVerdict.Unsure : SuspectVerdict.Free;
}

/**
 * Checks if another suspect was on all endpoints of a suspect when they crashed, and is the likelier cause. The suspect may then be
 * harmless; if it isn't, its next crash is one that the other suspect doesn't explain.
 */
function explainsAll(other: Suspect, suspect: Suspect, convicted: ReadonlySet<Suspect>): boolean {
    const mayExplain = other !== suspect && other.crashes.size >= suspect.crashes.size;
    if (!mayExplain || !isLikelierThanNew(other, suspect) && !convicted.has(other)) {
        return false;
    }
    for (const endpointId of suspect.crashes.keys()) {
        if (!other.crashes.has(endpointId)) {
            return false;
        }
    }
    return true;
}

/** Checks if another suspect is a likelier cause than a request, or a part that was never answered. */
function isLikelierThanNew(other: Suspect, { isPart, crashes }: Suspect): boolean {
    if (!isPart) {
        return !other.isPart && other.crashes.size >= crashThresholds.certain;
    }
    return !other.wasAnswered && other.crashes.size >= crashThresholds.certain && other.crashes.size > crashes.size;
}

/** Counts the crashes of a part that was answered before for which there is no likelier cause, as far as it takes to judge it. */
function countUnexplained(
    suspect: Suspect,
    suspects: readonly Suspect[],
    convicted: ReadonlySet<Suspect>,
    now: number,
): number {
    const unexplained = new Set<string>();
    const isWaiting = !isSeries(suspect);
    for (const [endpointId, { at }] of suspect.crashes) {
        if (!isWaiting || now - at >= doubtMilliseconds) {
            unexplained.add(endpointId);
        }
    }
    for (const other of suspects) {
        if (unexplained.size < crashThresholds.minimum) {
            break;
        }
        if (other !== suspect && (isLikelierThanAnswered(other, suspect) || convicted.has(other))) {
            for (const endpointId of other.crashes.keys()) {
                unexplained.delete(endpointId);
            }
        }
    }
    return unexplained.size;
}

/**
 * Checks if another suspect is a likelier cause than a part that was answered before: it never was, and was there at nearly as
 * many crashes. The cause is there at all of them, while each single request and each rare part is there at few.
 */
function isLikelierThanAnswered(other: Suspect, { crashes }: Suspect): boolean {
    const neededCrashes = Math.max(other.isPart ? crashThresholds.minimum : crashThresholds.certain, crashes.size - 1);
    return !other.wasAnswered && other.crashes.size >= neededCrashes;
}

function isSeries({ crashes }: Suspect): boolean {
    const times = [...crashes.values()].filter(({ isDown }) => isDown).map(({ at }) => at);
    return times.length >= seriesCrashes && Math.max(...times) - Math.min(...times) >= seriesMilliseconds;
}
