import type { EventLog } from "../process/logging/eventLog.ts";
import { events } from "../process/logging/events.ts";
import type { StoredValue } from "../process/platform/platformStore.ts";
import type { ConfigurationFollower } from "./configurationFollower.ts";
import { reportOffer } from "./reportOffer.ts";
import { StoredConfiguration } from "./storedConfiguration.ts";

/** Reads in a row that must show a lower version before it is reported; a single one may have been overtaken. */
const readsUntilBehind = 2;

/** Hands the store's values to the follower and reports each thing that an operator must know once. */
export class StoredConfigurationIntake {
    private readonly follower: ConfigurationFollower;
    private readonly eventLog: EventLog;
    /** The last value, so that a repeated one is not decoded and reported again. */
    private lastValue: string | undefined;
    private lastVersion: number | undefined;
    private readsBehind = 0;

    private constructor(follower: ConfigurationFollower, eventLog: EventLog) {
        this.follower = follower;
        this.eventLog = eventLog;
    }

    /**
     * Creates an intake.
     * @param options - The follower that takes the values, and the log.
     */
    static create(options: { follower: ConfigurationFollower; eventLog: EventLog; }): StoredConfigurationIntake {
        return new StoredConfigurationIntake(options.follower, options.eventLog);
    }

    /**
     * Takes a value that may be stale: a watch event, or the late answer to a read.
     * @param stored - Value under the configuration's key.
     */
    takeEvent(stored: StoredValue): void {
        if (stored.value === this.lastValue) {
            return;
        }
        this.lastValue = stored.value;
        this.lastVersion = undefined;
        const decoded = StoredConfiguration.decode(stored.value);
        if (decoded.err) {
            this.eventLog.write(events.configurationValueBroken, { reason: decoded.val.message });
            return;
        }
        this.lastVersion = decoded.val.version;
        reportOffer(this.eventLog, "store", decoded.val, this.follower.offer(decoded.val));
    }

    /**
     * Takes the answer to a read, which shows what the store holds.
     * @param stored - Value under the configuration's key; undefined where there is none.
     * @returns Whether the store has shown a lower version than the one in force, read after read.
     */
    takeRead(stored: StoredValue | undefined): boolean {
        if (stored !== undefined) {
            this.takeEvent(stored);
        }
        const storedVersion = stored === undefined ? 0 : this.lastVersion;
        const inForce = this.follower.getVersion();
        this.readsBehind = storedVersion !== undefined && storedVersion < inForce ? this.readsBehind + 1 : 0;
        if (this.readsBehind === readsUntilBehind && storedVersion !== undefined) {
            this.eventLog.write(events.configurationBehind, { stored: storedVersion, inForce });
        }
        return this.readsBehind >= readsUntilBehind;
    }

    /** Tells whether the last read showed a lower version than the one in force. */
    isBehind(): boolean {
        return this.readsBehind > 0;
    }
}
