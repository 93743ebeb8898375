import type { TextFault } from "../process/jsonc/textFault.ts";
import type { EventLog } from "../process/logging/eventLog.ts";
import { events } from "../process/logging/events.ts";
import type { ConfigurationVersion } from "./configurationVersion.ts";
import type { OfferOutcome } from "./offerOutcome.ts";
import { OfferOutcomeKind } from "./offerOutcomeKind.ts";
import type { VersionOffer } from "./versionOffer.ts";

/**
 * Logs the result of an offered configuration. Offers that are not newer are not logged.
 * @param eventLog - Log to write to.
 * @param source - Source of the offer, such as `store` or the address of a peer.
 * @param offer - The offer.
 * @param outcome - Result from the follower.
 */
export function reportOffer(
    eventLog: EventLog,
    source: string,
    offer: VersionOffer,
    outcome: OfferOutcome<ConfigurationVersion, TextFault[]>,
): void {
    const fields = { source, version: offer.version, edit: offer.editId };
    switch (outcome.kind) {
        case OfferOutcomeKind.Accepted:
            eventLog.write(events.configurationAccepted, fields);
            return;
        case OfferOutcomeKind.Broken: {
            const [first] = outcome.faults;
            const fault = first === undefined ? "" : `${first.line}:${first.column} ${first.path}: ${first.message}`;
            eventLog.write(events.configurationInvalid, { ...fields, faults: outcome.faults.length, fault });
            return;
        }
        case OfferOutcomeKind.Conflict:
            eventLog.write(events.configurationConflict, { ...fields, keptEdit: outcome.currentEditId });
            return;
        case OfferOutcomeKind.InvalidVersion:
            eventLog.write(events.configurationRecordUnreadable, fields);
            return;
        case OfferOutcomeKind.NotNewer:
            return;
    }
}
