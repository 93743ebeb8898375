import type { Suspect, SuspectCrash } from "./suspect.ts";
import { SuspectVerdict } from "./suspectVerdict.ts";

/**
 * Minimum number of crashed endpoints for a suspect to be held back. A single crash is weak evidence: all requests that the
 * endpoint was just beginning to run are suspected, and nearly all of them are harmless. Continuing after the second crash costs
 * another endpoint for each attempt.
 */
const minimumCrashes = 2;
/** From this number of crashes on, the cause is not a coincidence. */
const certainCrashes = 3;
/**
 * Time after which a crash counts against a part that was answered before. Until then the endpoint may turn out to be alive, and an
 * answer to another request with the part may clear it.
 */
const doubtMilliseconds = 700;

/**
 * Judges a suspect by its crashes and by those of the other suspects, as in group testing: each crash has one cause, which is among the
 * suspects of that crash. A part that was answered before is less likely the cause than one that never was.
 * @param suspect - The suspect.
 * @param suspects - All suspects.
 * @param now - Monotonic time in milliseconds.
 */
export function judgeSuspect(suspect: Suspect, suspects: Iterable<Suspect>, now: number): SuspectVerdict {
    const { crashes, isPart } = suspect;
    if (crashes.size < minimumCrashes) {
        return SuspectVerdict.Free;
    }
    if (isPart) {
        return judgePart(suspect, suspects, now);
    }
    if (crashes.size >= certainCrashes) {
        return SuspectVerdict.Certain;
    }
    return isExplained(suspect, suspects, canExplainRequest) ? SuspectVerdict.Free : SuspectVerdict.Unsure;
}

/** A part is only convicted by the crash of a canary, since a wrong verdict would hold back many requests. */
function judgePart(suspect: Suspect, suspects: Iterable<Suspect>, now: number): SuspectVerdict {
    if (isConvicted(suspect)) {
        return SuspectVerdict.Certain;
    }
    const isHeld = suspect.wasAnswered
        ? countUnexplained(suspect, suspects, now) >= minimumCrashes
        : !isExplained(suspect, suspects, canExplainNewPart);
    return isHeld ? SuspectVerdict.Unsure : SuspectVerdict.Free;
}

/**
 * Checks if one other suspect was on all endpoints of this one when they crashed. This one may then be harmless; if it isn't, its next
 * crash is one that the other suspect doesn't explain.
 */
function isExplained(
    suspect: Suspect,
    suspects: Iterable<Suspect>,
    canExplain: (other: Suspect, suspect: Suspect) => boolean,
): boolean {
    const ids = [...suspect.crashes.keys()];
    for (const other of suspects) {
        if (other !== suspect && canExplain(other, suspect) && ids.every(id => other.crashes.has(id))) {
            return true;
        }
    }
    return false;
}

function canExplainRequest(other: Suspect): boolean {
    return other.isPart ? isConvicted(other) : other.crashes.size >= certainCrashes;
}

function canExplainNewPart(other: Suspect, { crashes }: Suspect): boolean {
    return isConvicted(other)
        || !other.wasAnswered && other.crashes.size >= certainCrashes && other.crashes.size > crashes.size;
}

/** Counts the crashes of a part that was answered before for which there is no likelier cause. */
function countUnexplained(suspect: Suspect, suspects: Iterable<Suspect>, now: number): number {
    const unexplained = new Set<string>();
    for (const [endpointId, { at }] of suspect.crashes) {
        if (now - at >= doubtMilliseconds) {
            unexplained.add(endpointId);
        }
    }
    for (const other of suspects) {
        if (unexplained.size < minimumCrashes) {
            break;
        }
        if (other !== suspect && isLikelier(other, suspect)) {
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
function isLikelier(other: Suspect, { crashes }: Suspect): boolean {
    const neededCrashes = Math.max(other.isPart ? minimumCrashes : certainCrashes, crashes.size - 1);
    return isConvicted(other) || !other.wasAnswered && other.crashes.size >= neededCrashes;
}

/** Checks if an endpoint crashed under a canary for the suspect. */
function isConvicted({ crashes, isPart }: Suspect): boolean {
    return isPart && crashes.size >= minimumCrashes && [...crashes.values()].some(isCanaryCrash);
}

function isCanaryCrash({ isCanary }: SuspectCrash): boolean {
    return isCanary;
}
