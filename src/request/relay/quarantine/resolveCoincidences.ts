import { crashTimes } from "./crashTimes.ts";
import type { Suspect } from "./suspect.ts";
import type { SuspectedCrash } from "./suspectedCrash.ts";

/** So many sudden crashes are no coincidence: each other endpoint would have crashed just before the request was sent to it. */
const seriesCrashes = 4;

/**
 * Decides whether a crash of an endpoint that has not crashed under the suspect before counts. Several endpoints may have crashed together
 * before the request arrived there, so that a sudden crash doesn't count beside another one of that time.
 */
export function resolveCoincidences(
    { crashes, coincidences }: Pick<Suspect, "crashes" | "coincidences">,
    { endpointId, at, isSudden = false }: Pick<SuspectedCrash, "endpointId" | "at" | "isSudden">,
): boolean {
    const isCoincidence = (other: number) => Math.abs(other - at) < crashTimes.coincidenceMilliseconds;
    const beside = [...crashes].filter(([, crash]) => isCoincidence(crash.at));
    if (!isSudden) {
        for (const [id, crash] of beside) {
            if (crash.isSudden) {
                crashes.delete(id);
            }
        }
        return true;
    }
    if (beside.length === 0) {
        return true;
    }
    coincidences.set(endpointId, at);
    for (const [id, time] of coincidences) {
        if (!isCoincidence(time)) {
            coincidences.delete(id);
        }
    }
    return beside.length + coincidences.size >= seriesCrashes;
}
