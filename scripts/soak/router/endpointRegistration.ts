import { setTimeout as sleep } from "node:timers/promises";
import { createEndpointRecord } from "../../../standins/router/createEndpointRecord.ts";
import type { KeyValueStandin } from "../../../standins/router/keyValueStandin.ts";

/** What an endpoint writes to its record. */
type RecordFields = Parameters<typeof createEndpointRecord>[0];

/** Time until the store record of a crashed endpoint is removed: three heartbeats. */
const timeToLiveMilliseconds = 3_600;

/** The records of an endpoint's incarnations in the store. */
export class EndpointRegistration {
    static readonly timeToLiveMilliseconds = timeToLiveMilliseconds;
    private readonly store: KeyValueStandin;
    /** Rewrites the last record. */
    private rewrite: () => void = () => undefined;

    private constructor(store: KeyValueStandin) {
        this.store = store;
    }

    /** Creates an instance without records. */
    static create(store: KeyValueStandin): EndpointRegistration {
        return new EndpointRegistration(store);
    }

    /** Writes the record of an incarnation. */
    write(id: string, fields: RecordFields): void {
        const record = createEndpointRecord(fields);
        this.rewrite = () => this.store.put(getKey(id), record);
        this.rewrite();
    }

    /** Removes the record of an incarnation, which is not written again by itself. */
    remove(id: string): void {
        this.rewrite = () => undefined;
        this.store.remove(getKey(id));
    }

    /** Writes the last record again, and removes those of ended incarnations once they have expired. */
    async restore(endedIds: readonly string[]): Promise<void> {
        this.rewrite();
        await sleep(timeToLiveMilliseconds);
        for (const id of endedIds) {
            this.store.remove(getKey(id));
        }
    }
}

function getKey(id: string): string {
    return `servers/${id}`;
}
