import { Err, Ok, type Result } from "../../result.ts";
import type { Clock } from "../clock.ts";
import { systemClock } from "../systemClock.ts";
import { CallEffect } from "./callEffect.ts";
import { etcdSchemas } from "./etcdSchemas.ts";
import { EtcdWatch } from "./etcdWatch.ts";
import { getPrefixEnd } from "./getPrefixEnd.ts";
import { maximumValueBytes } from "./maximumValueBytes.ts";
import { type PlatformError, PlatformErrorKind } from "./platformError.ts";
import type {
    PlatformStore,
    StoredPage,
    StoredValue,
    SwapOutcome,
    WatchHandle,
    WatchOptions,
} from "./platformStore.ts";
import { PlatformTransport } from "./platformTransport.ts";

const defaultWatchSilenceMilliseconds = 5_000;
const millisecondsPerSecond = 1_000;
/** gRPC status code for an unknown lease. */
const notFoundGrpcCode = 5;

interface EtcdStoreOptions {
    /** Address of the service as `host:port`. */
    address: string;
    /** Timeout of a call, in milliseconds. */
    timeoutMilliseconds: number;
    /**
     * Time without an event or a progress notification after which the store closes a watch, in milliseconds. Defaults to
     * 5,000. The service must send progress notifications more often. Otherwise idle watches are closed after this time, and
     * the caller has to open new ones.
     */
    watchSilenceMilliseconds?: number;
    /** Clock for the timeouts. Defaults to the system clock. */
    clock?: Clock;
}

/** Client of the platform's key-value service through the JSON gateway of the etcd v3 API. */
export class EtcdStore implements PlatformStore {
    private readonly options: EtcdStoreOptions;
    private readonly clock: Clock;
    private readonly transport: PlatformTransport;
    private readonly watches = new Set<EtcdWatch>();

    private constructor(options: EtcdStoreOptions) {
        this.options = options;
        this.clock = options.clock ?? systemClock;
        this.transport = PlatformTransport.create({
            address: options.address,
            timeoutMilliseconds: options.timeoutMilliseconds,
            clock: this.clock,
        });
    }

    /**
     * Creates a store. It connects on the first call.
     * @param options - Address, timeouts and clock.
     */
    static create(options: EtcdStoreOptions): EtcdStore {
        return new EtcdStore(options);
    }

    /** Reads a key. */
    async get(key: string): Promise<Result<StoredValue | undefined, PlatformError>> {
        const answer = await this.callRange({ key: encode(key) });
        return answer.map(range => range.kvs[0]);
    }

    /** Reads a page of the keys that start with a prefix; an empty prefix stands for all keys. */
    async list(
        prefix: string,
        fromKey: string | undefined,
        limit: number,
    ): Promise<Result<StoredPage, PlatformError>> {
        const answer = await this.callRange({
            // etcd rejects an empty key. The lowest key that it accepts is a zero byte.
            key: encode(fromKey ?? prefix) || encode("\0"),
            range_end: getPrefixEnd(Buffer.from(prefix, "utf8")).toString("base64"),
            limit: String(limit),
        });
        return answer.map(({ kvs, more }) => ({ values: kvs, nextKey: more ? getNextKey(kvs) : undefined }));
    }

    /** Writes a key in a transaction if its revision is the expected one. Rejects a value over 1 MB without a call. */
    async compareAndSwap(
        key: string,
        expectedRevision: number,
        value: string,
        leaseId?: string,
    ): Promise<Result<SwapOutcome, PlatformError>> {
        const valueBytes = Buffer.byteLength(value, "utf8");
        if (valueBytes > maximumValueBytes) {
            return Err(createValueTooLargeError(key, valueBytes));
        }
        const encodedKey = encode(key);
        const answer = await this.callWrite("/v3/kv/txn", etcdSchemas.transaction, {
            compare: [{ key: encodedKey, target: "MOD", result: "EQUAL", mod_revision: String(expectedRevision) }],
            success: [{ request_put: { key: encodedKey, value: encode(value), lease: leaseId } }],
            failure: [{ request_range: { key: encodedKey } }],
        });
        return answer.map(({ succeeded, header, responses }) =>
            succeeded
                ? { swapped: true, revision: header.revision }
                : { swapped: false, current: responses[0]?.response_range?.kvs[0] }
        );
    }

    /** Creates a lease. Its time to live is rounded up to whole seconds and is at least one second. */
    async grantLease(timeToLiveMilliseconds: number): Promise<Result<string, PlatformError>> {
        const seconds = Math.max(1, Math.ceil(timeToLiveMilliseconds / millisecondsPerSecond));
        const answer = await this.callWrite("/v3/lease/grant", etcdSchemas.leaseGrant, { TTL: String(seconds) });
        return answer.map(grant => grant.ID);
    }

    /** Renews a lease. Returns false if it has expired. */
    async renewLease(leaseId: string): Promise<Result<boolean, PlatformError>> {
        const answer = await this.callWrite("/v3/lease/keepalive", etcdSchemas.leaseKeepAlive, { ID: leaseId });
        return answer.map(({ result }) => result.TTL > 0);
    }

    /** Revokes a lease. Also succeeds if it has expired. */
    async revokeLease(leaseId: string): Promise<Result<void, PlatformError>> {
        const answer = await this.callWrite("/v3/lease/revoke", etcdSchemas.leaseRevoke, { ID: leaseId });
        if (answer.err && answer.val.grpcCode !== notFoundGrpcCode) {
            return answer;
        }
        return Ok(undefined);
    }

    /** Watches a key until the watch fails or is closed. */
    watch(key: string, fromRevision: number, options: WatchOptions): WatchHandle {
        const watch = EtcdWatch.create({
            onValue: value => options.onValue(value),
            onClosed: reason => options.onClosed(reason),
            transport: this.transport,
            clock: this.clock,
            address: this.options.address,
            key,
            fromRevision,
            silenceLimitMilliseconds: this.options.watchSilenceMilliseconds ?? defaultWatchSilenceMilliseconds,
            onEnded: () => this.watches.delete(watch),
        });
        this.watches.add(watch);
        return watch;
    }

    /** Closes the watches, without calling their callbacks, and the connections. Calls in flight fail. */
    async close(): Promise<void> {
        for (const watch of this.watches) {
            watch.close();
        }
        await this.transport.close();
    }

    private callRange(body: object) {
        return this.transport.call({
            method: "POST",
            path: "/v3/kv/range",
            body,
            effect: CallEffect.Read,
            schema: etcdSchemas.range,
        });
    }

    private callWrite<T>(path: string, schema: Parameters<typeof this.transport.call<T>>[0]["schema"], body: object) {
        return this.transport.call({ method: "POST", path, body, effect: CallEffect.Write, schema });
    }
}

function encode(text: string): string {
    return Buffer.from(text, "utf8").toString("base64");
}

/** Gets the key that directly follows the last one of a page in byte order. */
function getNextKey(values: StoredValue[]): string | undefined {
    const last = values.at(-1);
    return last === undefined ? undefined : `${last.key}\0`;
}

function createValueTooLargeError(key: string, valueBytes: number): PlatformError {
    return {
        kind: PlatformErrorKind.NotDone,
        message:
            `The value of ${key} has ${valueBytes} bytes; the platform stores at most ${maximumValueBytes}. Reduce its size.`,
    };
}
