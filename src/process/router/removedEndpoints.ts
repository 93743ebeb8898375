import type { RegisteredEndpoint } from "../../request/relay/endpoints/registeredEndpoint.ts";
import type { Clock, TimerHandle } from "../clock.ts";
import { EraRevision } from "../replica/eraRevision.ts";

/** Options of {@link RemovedEndpoints}. */
interface RemovedEndpointsOptions {
    clock: Clock;
    /** Called with the record's key for an endpoint that is alive although its record was removed before. */
    onAlive(key: string, endpoint: RegisteredEndpoint): void;
}

/** An endpoint whose record was removed. */
interface RemovedEndpoint {
    incarnation: number;
    /** Revision of the removal. */
    revision: number;
    /** The record that came back with an older snapshot of the store. */
    returned: ReturnedRecord | undefined;
}

/** A record that came back with an older snapshot of the store, with the timer that accepts it. */
interface ReturnedRecord {
    revision: number;
    timer: TimerHandle;
}

/** Maximum number of endpoints to remember. */
const maximumEndpoints = 2_000;
/**
 * If an older snapshot of the store still has the record of an endpoint that is gone, the record expires within this time, since the
 * endpoint no longer renews it. A record that is still there is that of a live endpoint.
 */
const expiryMilliseconds = 6_000;

/** Remembers which endpoints are gone, so that an older snapshot of the store does not bring them back. */
export class RemovedEndpoints {
    private readonly options: RemovedEndpointsOptions;
    /** By the key of the record, oldest removal first. */
    private readonly endpoints = new Map<string, RemovedEndpoint>();

    private constructor(options: RemovedEndpointsOptions) {
        this.options = options;
    }

    /** Creates an instance without endpoints. */
    static create(options: RemovedEndpointsOptions): RemovedEndpoints {
        return new RemovedEndpoints(options);
    }

    /** Records that the record of a registered endpoint was removed. */
    add(key: string, { incarnation }: RegisteredEndpoint, revision: number): void {
        this.forget(key);
        this.endpoints.set(key, { incarnation, revision, returned: undefined });
        if (this.endpoints.size > maximumEndpoints) {
            this.forget(this.endpoints.keys().next().value!);
        }
    }

    /** Records that a record was removed whose endpoint is not registered, because it may have come back with an older snapshot. */
    addRepeated(key: string, revision: number): void {
        const removed = this.endpoints.get(key);
        if (removed !== undefined) {
            removed.returned?.timer.cancel();
            removed.returned = undefined;
            removed.revision = revision;
        }
    }

    /** Forgets an endpoint that is registered again. */
    forget(key: string): void {
        this.endpoints.get(key)?.returned?.timer.cancel();
        this.endpoints.delete(key);
    }

    /** Checks if an endpoint is known to be gone and its record only comes from an older snapshot of the store. */
    isGone(key: string, { incarnation }: RegisteredEndpoint, revision: number): boolean {
        const removed = this.endpoints.get(key);
        if (removed === undefined || incarnation > removed.incarnation) {
            return false;
        }
        const lastRevision = removed.returned?.revision ?? removed.revision;
        return EraRevision.getEra(revision) > EraRevision.getEra(lastRevision);
    }

    /** Accepts the record of an endpoint that is gone only if it does not expire. */
    holdBack(key: string, endpoint: RegisteredEndpoint, revision: number): void {
        const removed = this.endpoints.get(key);
        if (removed === undefined) {
            return;
        }
        removed.returned?.timer.cancel();
        const timer = this.options.clock.setTimer(expiryMilliseconds, () => {
            this.forget(key);
            this.options.onAlive(key, endpoint);
        });
        removed.returned = { revision, timer };
    }
}
