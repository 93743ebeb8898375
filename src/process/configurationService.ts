import type { Configuration } from "../version/configuration.ts";
import { ConfigurationFollower } from "../version/configurationFollower.ts";
import type { ConfigurationVersion } from "../version/configurationVersion.ts";
import { ConfigurationWatcher } from "../version/configurationWatcher.ts";
import { CustomerIndex } from "../version/customerIndex.ts";
import { restoreStoredConfiguration } from "../version/restoreStoredConfiguration.ts";
import type { Clock } from "./clock.ts";
import type { EventLog } from "./logging/eventLog.ts";
import { events } from "./logging/events.ts";
import type { PlatformStore, StoredValue } from "./platform/platformStore.ts";
import type { RandomSource } from "./randomSource.ts";

/** Options of a {@link ConfigurationService}. */
interface ConfigurationServiceOptions {
    store: PlatformStore;
    clock: Clock;
    random: RandomSource;
    log: EventLog;
    /**
     * Gets the factor by which the interval of periodic reads is lengthened, so that the total load of all nodes stays
     * constant; 1 for small fleets.
     */
    getIntervalFactor(): number;
    /** Called with each accepted version. */
    onAccepted(version: ConfigurationVersion): void;
}

/**
 * Interval of the full reads, multiplied by the interval factor. They are a fallback, since heartbeats also carry the version.
 */
const checkIntervalMilliseconds = 10_000;
/** Configuration before the first version is accepted; requests are refused until then. */
const emptyConfiguration: Configuration = {
    models: {},
    services: {},
    endpoints: {},
    dataCentres: {},
    links: [],
    customers: {},
    limits: { maximumBodyBytes: 0, maximumTokens: 0, maximumQueueMilliseconds: 0, maximumQueuedRequests: 0 },
    claims: { shards: 1, windowMilliseconds: 1, appendIntervalMilliseconds: 1 },
};

/** Holds the configuration in force on one node and watches the store for newer ones. */
export class ConfigurationService {
    readonly follower: ConfigurationFollower;
    readonly watcher: ConfigurationWatcher;
    private readonly options: ConfigurationServiceOptions;
    private customers: CustomerIndex | undefined;

    private constructor(options: ConfigurationServiceOptions) {
        const { store, clock, random, log } = options;
        this.options = options;
        this.follower = ConfigurationFollower.create({ onAccepted: version => this.applyVersion(version) });
        this.watcher = ConfigurationWatcher.create({
            store,
            follower: this.follower,
            clock,
            random,
            eventLog: log,
            getCheckIntervalMilliseconds: () => checkIntervalMilliseconds * options.getIntervalFactor(),
            onStoreBehind: stored => void this.restoreStored(stored),
        });
    }

    /** Creates the service without a configuration in force. */
    static create(options: ConfigurationServiceOptions): ConfigurationService {
        return new ConfigurationService(options);
    }

    /** Gets the configuration in force, or an empty one before the first is accepted. */
    getConfiguration(): Configuration {
        return this.follower.getCurrent()?.configuration ?? emptyConfiguration;
    }

    /** Gets the version in force and the index of its customers, or undefined before the first is accepted. */
    getVersion(): { version: ConfigurationVersion; customers: CustomerIndex; } | undefined {
        const version = this.follower.getCurrent();
        return version === undefined || this.customers === undefined
            ? undefined
            : { version, customers: this.customers };
    }

    private applyVersion(version: ConfigurationVersion): void {
        this.customers = CustomerIndex.create(version.configuration);
        this.options.onAccepted(version);
    }

    private async restoreStored(stored: StoredValue | undefined): Promise<void> {
        const current = this.follower.getCurrent();
        if (current === undefined) {
            return;
        }
        const { store, clock, log } = this.options;
        const restored = await restoreStoredConfiguration({
            store,
            current,
            stored,
            wallTime: clock.getWallTime(),
        });
        if (restored.ok && restored.val.swapped) {
            log.write(events.configurationRestored, { version: current.version });
        }
    }
}
