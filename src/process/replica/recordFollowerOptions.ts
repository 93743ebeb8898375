import type { Clock } from "../clock.ts";
import type { EventLog } from "../logging/eventLog.ts";
import type { RandomSource } from "../randomSource.ts";
import type { RecordSection } from "./recordSection.ts";
import type { RecordStore } from "./recordStore.ts";

/** Options of a `RecordFollower`. */
export interface RecordFollowerOptions {
    store: RecordStore;
    section: RecordSection;
    /** Prefix of the section's keys. */
    prefix: string;
    /** Whether the store has answered the last cheap call. After a failure, the follower makes no call before that. */
    isStoreAnswering(): boolean;
    /** Makes the cheapest call to the store; returns false if it is not answered soon. */
    callStore(): Promise<boolean>;
    /** Called when a call has returned changes that the waiting call has not. Those of other nodes may have missed them too. */
    onMissedChanges(): void;
    clock: Clock;
    random: RandomSource;
    log: EventLog;
}
