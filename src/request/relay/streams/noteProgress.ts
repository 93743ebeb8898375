import { silenceMilliseconds } from "../detection/silenceMilliseconds.ts";
import { listDataCentres } from "../links/listDataCentres.ts";
import type { StreamAttempt } from "./streamAttempt.ts";
import type { StreamState } from "./streamState.ts";

/** A request that crashes the endpoint that runs it does so within a few steps. After this time it is considered safe. */
const safeAfterMilliseconds = 250;

/**
 * Records what an event shows: its chain makes progress, its endpoints are alive, and the request is harmless to them.
 * @param state - The request.
 * @param attempt - The attempt that sent the event.
 * @param now - Monotonic time in milliseconds.
 */
export function noteProgress({ environment, quarantine }: StreamState, attempt: StreamAttempt, now: number): void {
    const wasSilent = now - attempt.lastProgressAt > silenceMilliseconds;
    attempt.lastProgressAt = now;
    attempt.reservation.links.noteEvent(now);
    for (const { endpoint } of attempt.stages) {
        environment.health.markAlive(endpoint.id, now);
    }
    if (now - (attempt.firstEventAt ?? now) >= safeAfterMilliseconds) {
        quarantine.markSafe(attempt.firstEventAt!);
    }
    if (attempt.firstEventAt === undefined) {
        attempt.firstEventAt = now;
        environment.linkDelays.recordFirstEvent(listDataCentres(attempt.stages), now - attempt.sentAt, now);
        environment.firstEvents.record(now - attempt.sentAt);
    }
    if (attempt.firstEventAt === now || wasSilent) {
        for (const { endpoint } of attempt.stages) {
            environment.health.addSuccess(endpoint.id, now);
        }
    }
}
