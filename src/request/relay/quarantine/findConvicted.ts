import { crashThresholds } from "./crashThresholds.ts";
import type { Suspect } from "./suspect.ts";

/**
 * Finds the parts that are the cause of the crash of an endpoint that ran a canary for them, because there is no other suspect to which
 * that crash points as much. A part is convicted by nothing else, since a wrong verdict would hold back many requests.
 */
export function findConvicted(suspects: readonly Suspect[]): ReadonlySet<Suspect> {
    return new Set(suspects.filter(suspect => isConvicted(suspect, suspects)));
}

function isConvicted(suspect: Suspect, suspects: readonly Suspect[]): boolean {
    if (!suspect.isPart || suspect.crashes.size < crashThresholds.minimum) {
        return false;
    }
    for (const [endpointId, { isCanary }] of suspect.crashes) {
        if (isCanary && !suspects.some(other => other !== suspect && isRival(other, suspect, endpointId))) {
            return true;
        }
    }
    return false;
}

/** Checks if a crash under a canary for a part may as well be due to another suspect, of that request or of another one at the endpoint. */
function isRival(other: Suspect, suspect: Suspect, endpointId: string): boolean {
    const { wasAnswered, crashes } = suspect;
    const crash = other.crashes.get(endpointId);
    if (crash === undefined) {
        return false;
    }
    if (!other.isPart) {
        return isCertainWithoutPart(other, suspect);
    }
    return wasAnswered
        ? crash.isCanary || other.crashes.size >= Math.max(crashThresholds.minimum, crashes.size - 1)
        : crash.isCanary && !other.wasAnswered && other.crashes.size > crashes.size;
}

/**
 * Checks if a whole request certainly crashes endpoints, one of them at least without the part. The part may itself be why a request with
 * it crashes endpoints, but then it is held against the part as well each time.
 */
function isCertainWithoutPart(request: Suspect, { crashes }: Suspect): boolean {
    return request.crashes.size >= crashThresholds.certain && [...request.crashes.keys()].some(id => !crashes.has(id));
}
