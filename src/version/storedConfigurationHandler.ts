import type { EventLog } from "../process/logging/eventLog.ts";
import { events } from "../process/logging/events.ts";
import type { StoredValue } from "../process/platform/platformStore.ts";
import type { ConfigurationFollower } from "./configurationFollower.ts";
import { reportOffer } from "./reportOffer.ts";
import { StoredConfiguration } from "./storedConfiguration.ts";

/** Consecutive reads of a lower version before it is reported. A single read may have been overtaken by a newer version. */
const minimumReadsBehind = 2;

/** Passes values from the store to the follower and logs each problem once. */
export class StoredConfigurationHandler {
    private readonly follower: ConfigurationFollower;
    private readonly eventLog: EventLog;
    /** Last value, which is not decoded and logged again if it is repeated. */
    private lastValue: string | undefined;
    private lastVersion: number | undefined;
    private readsBehind = 0;

    private constructor(follower: ConfigurationFollower, eventLog: EventLog) {
        this.follower = follower;
        this.eventLog = eventLog;
    }

    /**
     * Creates an instance for a follower.
     * @param options - Follower that receives the values, and log.
     */
    static create(options: { follower: ConfigurationFollower; eventLog: EventLog; }): StoredConfigurationHandler {
        return new StoredConfigurationHandler(options.follower, options.eventLog);
    }

    /**
     * Handles a value that may be stale: a watch event, or a late response to a read.
     * @param stored - Value of the configuration's key.
     */
    handleEvent(stored: StoredValue): void {
        if (stored.value === this.lastValue) {
            return;
        }
        this.lastValue = stored.value;
        this.lastVersion = undefined;
        const decoded = StoredConfiguration.decode(stored.value);
        if (decoded.err) {
            this.eventLog.write(events.configurationRecordUnreadable, { reason: decoded.val.message });
            return;
        }
        this.lastVersion = decoded.val.version;
        reportOffer(this.eventLog, "store", decoded.val, this.follower.offer(decoded.val));
    }

    /**
     * Handles the response to a read, which is the current value in the store.
     * @param stored - Value of the configuration's key; undefined if the key does not exist.
     * @returns Whether consecutive reads have returned a lower version than the one in force.
     */
    handleRead(stored: StoredValue | undefined): boolean {
        if (stored !== undefined) {
            this.handleEvent(stored);
        }
        const storedVersion = stored === undefined ? 0 : this.lastVersion;
        const inForce = this.follower.getVersion();
        this.readsBehind = storedVersion !== undefined && storedVersion < inForce ? this.readsBehind + 1 : 0;
        if (this.readsBehind === minimumReadsBehind && storedVersion !== undefined) {
            this.eventLog.write(events.storedConfigurationOutdated, { stored: storedVersion, inForce });
        }
        return this.readsBehind >= minimumReadsBehind;
    }

    /** Checks if the last read returned a lower version than the one in force. */
    isBehind(): boolean {
        return this.readsBehind > 0;
    }
}
