import type { Result } from "../../result.ts";
import type { RoutingConfiguration } from "../../version/routing/routingConfiguration.ts";
import { RoutingState } from "../../version/routing/routingState.ts";
import type { Clock } from "../clock.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { ChangeSource } from "../replica/changeSource.ts";
import type { StoreRecord } from "../replica/storeRecord.ts";

/** Options of a {@link RoutingHolder}. */
interface RoutingHolderOptions {
    clock: Pick<Clock, "getMonotonicTime">;
    decode(text: string): Result<RoutingConfiguration, string>;
    log: EventLog;
    metrics: Metrics;
}

/** Holds the configuration in force on this node. Its version never decreases. */
export class RoutingHolder {
    private readonly options: RoutingHolderOptions;
    private state: RoutingState | undefined;
    /** Monotonic time in milliseconds since which the configuration has been in force. */
    private inForceSince = 0;

    private constructor(options: RoutingHolderOptions) {
        this.options = options;
    }

    /** Creates a holder without a configuration. */
    static create(options: RoutingHolderOptions): RoutingHolder {
        return new RoutingHolder(options);
    }

    /** Gets the configuration in force; undefined if there is none yet. */
    getState(): RoutingState | undefined {
        return this.state;
    }

    /** Gets the time for which the configuration has been in force at this node, in milliseconds. */
    getAge(): number {
        return Math.round(this.options.clock.getMonotonicTime() - this.inForceSince);
    }

    /** Checks if a record has no configuration, or an older one than the known record. */
    isOutdated(record: StoreRecord, known: StoreRecord): boolean {
        const version = this.getVersion(record);
        const knownVersion = this.getVersion(known);
        return knownVersion !== undefined && (version === undefined || version < knownVersion);
    }

    /** Puts a configuration in force, unless it is invalid or not newer than the current one. */
    applyRecord({ key, revision, text }: StoreRecord, source: ChangeSource): void {
        const { clock, decode, log, metrics } = this.options;
        if (text === undefined) {
            log.write(events.routingInvalid, { key, revision, reason: "The key was deleted." });
            return;
        }
        const decoded = decode(text);
        if (decoded.err) {
            log.write(events.routingInvalid, { key, revision, reason: decoded.val });
            return;
        }
        const { version, routes, customers } = decoded.val;
        const current = this.state?.configuration.version ?? -1;
        if (version <= current) {
            return;
        }
        this.state = RoutingState.create(decoded.val);
        this.inForceSince = clock.getMonotonicTime();
        metrics.configurationVersion.set(version);
        const fields = { version, revision, source, routes: routes.length, customers: customers.length };
        log.write(events.routingAccepted, fields);
    }

    private getVersion({ text }: StoreRecord): number | undefined {
        const decoded = text === undefined ? undefined : this.options.decode(text);
        return decoded?.ok ? decoded.val.version : undefined;
    }
}
