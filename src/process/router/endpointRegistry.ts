import { createEndpointKey } from "../../request/relay/endpoints/createEndpointKey.ts";
import type { RegisteredEndpoint } from "../../request/relay/endpoints/registeredEndpoint.ts";
import type { RelayDirectory } from "../../request/relay/endpoints/relayDirectory.ts";
import type { Result } from "../../result.ts";
import type { Clock } from "../clock.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import type { ChangeSource } from "../replica/changeSource.ts";
import { EraRevision } from "../replica/eraRevision.ts";
import type { StoreRecord } from "../replica/storeRecord.ts";
import type { EndpointReadings } from "./endpointReadings.ts";
import { findReplacedEndpoints } from "./findReplacedEndpoints.ts";
import { RemovedEndpoints } from "./removedEndpoints.ts";

/** Options of an {@link EndpointRegistry}. */
interface EndpointRegistryOptions {
    clock: Clock;
    log: EventLog;
    readings: EndpointReadings;
    /** Parses the record that an endpoint wrote under a key. */
    decode(key: string, text: string): Result<RegisteredEndpoint, string>;
    /** Gets the services of the configuration in force, by name; undefined if there is none yet. */
    getServices(): ReadonlyMap<string, unknown> | undefined;
    /** How long an endpoint that is gone may still get requests, in milliseconds. */
    drainMilliseconds: number;
    /** Checks if an endpoint has announced to this node that it is leaving, whatever its record says. */
    isLeaving(endpointId: string): boolean;
    /** Gets the monotonic time in milliseconds of the last known store failure. */
    getLastStoreFailure(): number;
    /** Called when an endpoint was added, removed or changed. */
    onChange(): void;
    /** Called with each record of a service of the configuration that is applied. Its endpoint may have started since the record before. */
    onRecord(endpoint: RegisteredEndpoint): void;
    /** Called with the previous and the current state of an endpoint that has restarted under the same id. */
    onRestart(earlier: RegisteredEndpoint, later: RegisteredEndpoint): void;
}

/** An endpoint, with the deadline for its record to return if it is missing. */
interface RegistryEntry {
    endpoint: RegisteredEndpoint;
    /** Monotonic time in milliseconds until which the endpoint stays registered although its record is missing. */
    retainedUntil: number | undefined;
    /** Whether the incarnation comes from a report instead of the endpoint's record. */
    isIncarnationReported: boolean;
}

/** Records that expired during a store outage are written again within about two seconds after it. */
const recordRecoveryMilliseconds = 2_000;
/**
 * An endpoint that is really gone must get no more requests once the drain time is over. This fraction of the drain time is
 * spent waiting for the record; the rest is for propagating the change through the peers to the slowest node.
 */
const recordWaitFraction = 0.5;

/** The endpoints that are registered in the platform's store. */
export class EndpointRegistry implements RelayDirectory {
    private readonly options: EndpointRegistryOptions;
    /** Endpoints by the key of their record. */
    private readonly endpoints = new Map<string, RegistryEntry>();
    /** Parse errors of invalid records, by key. */
    private readonly invalidRecordReasons = new Map<string, string>();
    private readonly removed: RemovedEndpoints;
    /** Latest era of the store's records; undefined if there are none yet. */
    private era: number | undefined;
    /** Monotonic time in milliseconds at which records of a later era first showed that the store was restored from an older snapshot. */
    private restoredAt = -Infinity;
    private readonly usableByService = new Map<string, RegisteredEndpoint[]>();
    private readonly byAddress = new Map<string, RegisteredEndpoint>();
    private isIndexed = false;
    /** The services of the configuration for which the index was built. */
    private indexedServices: ReadonlyMap<string, unknown> | undefined;

    private constructor(options: EndpointRegistryOptions) {
        this.options = options;
        this.removed = RemovedEndpoints.create({
            clock: options.clock,
            onAlive: (key, endpoint) => this.replace(key, endpoint, "store"),
        });
    }

    /** Creates an empty registry. */
    static create(options: EndpointRegistryOptions): EndpointRegistry {
        return new EndpointRegistry(options);
    }

    /** Applies a change of an endpoint's record. */
    applyRecord({ key, revision, text }: StoreRecord, source: ChangeSource): void {
        const { log, decode } = this.options;
        this.noteEra(EraRevision.getEra(revision));
        if (text === undefined) {
            this.invalidRecordReasons.delete(key);
            this.remove(key, revision, source);
            return;
        }
        const decoded = decode(key, text);
        if (decoded.err) {
            this.handleInvalidRecord(key, revision, decoded.val);
            return;
        }
        this.invalidRecordReasons.delete(key);
        const endpoint = decoded.val;
        const known = this.endpoints.get(key)?.endpoint;
        if (known !== undefined && endpoint.incarnation < known.incarnation) {
            log.write(events.endpointRecordOutdated, { ...describe(endpoint), revision, source });
            return;
        }
        if (this.removed.isGone(key, endpoint, revision)) {
            log.write(events.endpointRecordReturned, { ...describe(endpoint), revision, source });
            this.removed.holdBack(key, endpoint, revision);
            return;
        }
        this.removed.forget(key);
        // Changes from a peer are logged by the node that read them from the store. Here they have one line per fetch, which
        // avoids a line for each endpoint at each node.
        if (source === "store") {
            log.write(events.endpointRegistered, { ...describe(endpoint), revision, source });
        }
        this.replace(key, endpoint, source);
    }

    /**
     * Handles the incarnation that an endpoint reported. If it is later than the registered one, the endpoint counts as
     * holding no layers until its own record says so. An earlier one is ignored, and so is one that may be that of another
     * endpoint that has taken over the address: if another one registered there with it, or if the record is missing.
     * @param requestedEndpoint - The endpoint as it was known when the report was requested.
     * @param incarnation - Start time of its process, in Unix milliseconds.
     */
    handleIncarnation(requestedEndpoint: RegisteredEndpoint, incarnation: number): void {
        for (const [key, { endpoint: known, retainedUntil }] of this.endpoints) {
            if (known.registeredId !== requestedEndpoint.registeredId || incarnation <= known.incarnation) {
                continue;
            }
            if (retainedUntil !== undefined || this.hasOther(key, known.address, incarnation)) {
                return;
            }
            const id = createEndpointKey(known.registeredId, incarnation);
            this.replace(key, { ...known, id, incarnation, layers: undefined }, "report");
            return;
        }
    }

    /** Checks if another endpoint registered at an address with an incarnation. */
    private hasOther(key: string, address: string, incarnation: number): boolean {
        for (const [otherKey, { endpoint }] of this.endpoints) {
            const isAtAddress = endpoint.address === address && endpoint.incarnation === incarnation;
            if (otherKey !== key && isAtAddress && this.isNamed(endpoint)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Checks if the configuration names the service of an endpoint. A record of another service may come from any writer and proves nothing
     * about the process at its address.
     */
    private isNamed({ service }: RegisteredEndpoint): boolean {
        return this.options.getServices()?.has(service) ?? true;
    }

    /** Checks if a record of a later era of the store lacks the announcement of an endpoint that is known to be leaving. */
    isOutdated(record: StoreRecord, known: StoreRecord): boolean {
        const { decode } = this.options;
        const endpoint = record.text === undefined ? undefined : decode(record.key, record.text);
        const knownEndpoint = known.text === undefined ? undefined : decode(known.key, known.text);
        // An endpoint that is leaving stays so until it ends, even if an older snapshot of the store doesn't have its announcement.
        return endpoint?.ok === true
            && knownEndpoint?.ok === true
            && endpoint.val.id === knownEndpoint.val.id
            && knownEndpoint.val.isDraining
            && !endpoint.val.isDraining;
    }

    private noteEra(era: number): void {
        if (this.era !== undefined && era > this.era) {
            this.restoredAt = this.options.clock.getMonotonicTime();
        }
        this.era = Math.max(era, this.era ?? 0);
    }

    /** Replaces the endpoint under a key. After a restart, notifies the owner to drop other state of the earlier process. */
    private replace(key: string, endpoint: RegisteredEndpoint, source: ChangeSource | "report"): void {
        const { log, onRecord, onRestart, onChange } = this.options;
        const known = this.endpoints.get(key)?.endpoint;
        this.endpoints.set(key, { endpoint, retainedUntil: undefined, isIncarnationReported: source === "report" });
        this.isIndexed = false;
        if (this.isNamed(endpoint)) {
            onRecord(endpoint);
        }
        if (known !== undefined && known.incarnation < endpoint.incarnation) {
            log.write(events.endpointRestarted, { endpoint: endpoint.id, earlier: known.id, source });
            onRestart(known, endpoint);
        }
        onChange();
    }

    /** Stops returning an endpoint that has announced that it is leaving. */
    handleLeaving(): void {
        this.isIndexed = false;
        this.options.onChange();
    }

    /** Removes the endpoint of an invalid record. The record is rewritten with each heartbeat, so each reason is logged once. */
    private handleInvalidRecord(key: string, revision: number, reason: string): void {
        if (this.invalidRecordReasons.get(key) !== reason) {
            this.invalidRecordReasons.set(key, reason);
            this.options.log.write(events.endpointRecordInvalid, { key, revision, reason });
        }
        if (this.endpoints.delete(key)) {
            this.isIndexed = false;
            this.options.onChange();
        }
    }

    /** Gets the endpoints of a service that accept new requests. */
    getEndpoints(service: string): readonly RegisteredEndpoint[] {
        this.buildIndex();
        return this.usableByService.get(service) ?? [];
    }

    /** Gets the endpoint at an address (host:port). */
    getEndpointAt(address: string): RegisteredEndpoint | undefined {
        this.buildIndex();
        return this.byAddress.get(address);
    }

    /** Gets the factor on an endpoint's usual times; 1 if it is unknown. */
    getSlowness(endpointId: string): number {
        return this.options.readings.getFactor(endpointId, this.options.clock.getMonotonicTime());
    }

    /** Gets the memory in use that the requests of no node explain, in tokens times layers. */
    getHiddenTokenLayers(endpointId: string): number {
        return this.options.readings.getHiddenTokenLayers(endpointId, this.options.clock.getMonotonicTime());
    }

    /** Gets all endpoints, including draining ones. */
    getAll(): RegisteredEndpoint[] {
        this.removeExpired();
        return [...this.endpoints.values()].map(({ endpoint }) => endpoint);
    }

    private remove(key: string, revision: number, source: ChangeSource): void {
        const known = this.endpoints.get(key);
        if (known === undefined) {
            this.removed.addRepeated(key, revision);
            return;
        }
        const { clock, log, getLastStoreFailure, onChange, drainMilliseconds } = this.options;
        const now = clock.getMonotonicTime();
        const lastDisruption = Math.max(getLastStoreFailure(), this.restoredAt);
        const isDoubtful = now - lastDisruption < recordRecoveryMilliseconds && !known.endpoint.isDraining;
        this.removed.add(key, known.endpoint, revision);
        log.write(events.endpointRemoved, { endpoint: known.endpoint.id, revision, source, isDoubtful });
        if (isDoubtful) {
            const waitMilliseconds = drainMilliseconds * recordWaitFraction;
            const retainedUntil = now + waitMilliseconds;
            known.retainedUntil = retainedUntil;
            clock.setTimer(waitMilliseconds, () => {
                // A timer may fire up to a millisecond early, so the time is not compared again.
                if (known.retainedUntil === retainedUntil && this.endpoints.get(key) === known) {
                    this.endpoints.delete(key);
                }
                this.isIndexed = false;
                onChange();
            });
            return;
        }
        this.endpoints.delete(key);
        this.isIndexed = false;
        onChange();
    }

    private removeExpired(): void {
        const now = this.options.clock.getMonotonicTime();
        for (const [key, { retainedUntil }] of this.endpoints) {
            if (retainedUntil !== undefined && retainedUntil <= now) {
                this.endpoints.delete(key);
            }
        }
    }

    private buildIndex(): void {
        const services = this.options.getServices();
        if (this.isIndexed && services === this.indexedServices) {
            return;
        }
        this.isIndexed = true;
        this.indexedServices = services;
        this.usableByService.clear();
        this.byAddress.clear();
        this.removeExpired();
        const entries = [...this.endpoints.values()].filter(({ endpoint }) => this.isNamed(endpoint));
        const replaced = findReplacedEndpoints(entries);
        for (const { endpoint } of entries) {
            if (replaced.has(endpoint)) {
                continue;
            }
            this.byAddress.set(endpoint.address, endpoint);
            if (endpoint.isDraining || this.options.isLeaving(endpoint.id)) {
                continue;
            }
            const serviceEndpoints = this.usableByService.get(endpoint.service) ?? [];
            serviceEndpoints.push(endpoint);
            this.usableByService.set(endpoint.service, serviceEndpoints);
        }
    }
}

function describe(endpoint: RegisteredEndpoint): Record<string, string | number | boolean> {
    const { id, service, address, dataCentre, isDraining, kind, layers } = endpoint;
    const range = layers === undefined ? "" : `${layers.start}-${layers.end}`;
    return { endpoint: id, service, address, dataCentre, isDraining, kind: kind ?? "", layers: range };
}
