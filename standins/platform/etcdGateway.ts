import type { z } from "zod";
import { createHeader } from "./createHeader.ts";
import { createRangePredicate } from "./createRangePredicate.ts";
import { etcdRequestSchemas } from "./etcdRequestSchemas.ts";
import { formatKeyRecord } from "./formatKeyRecord.ts";
import type { KeyValueState } from "./keyValueState.ts";
import type { StandinAnswer } from "./standinAnswer.ts";

const maximumValueBytes = 1_000_000;
const okStatus = 200;
const badRequestStatus = 400;
const notFoundStatus = 404;
const invalidArgumentGrpcCode = 3;
const notFoundGrpcCode = 5;
const noLease = "0";

type RangeRequest = z.infer<typeof etcdRequestSchemas.range>;
type Operation = z.infer<typeof etcdRequestSchemas.transaction>["success"][number];

/** Handles the non-streaming calls of the etcd v3 API. */
export class EtcdGateway {
    private readonly state: KeyValueState;

    private constructor(state: KeyValueState) {
        this.state = state;
    }

    /** Creates a gateway for a key-value store. */
    static create(state: KeyValueState): EtcdGateway {
        return new EtcdGateway(state);
    }

    range(body: unknown): StandinAnswer {
        const request = etcdRequestSchemas.range.parse(body);
        return this.createAnswer(this.readRange(request), false);
    }

    transaction(body: unknown): StandinAnswer {
        const request = etcdRequestSchemas.transaction.parse(body);
        const succeeded = request.compare.every(({ key, mod_revision }) =>
            (this.state.getRecord(key)?.modRevision ?? 0) === mod_revision
        );
        const operations = succeeded ? request.success : request.failure;
        const error = this.findPutError(operations);
        if (error !== undefined) {
            return error;
        }
        const responses = operations.map(operation => this.runOperation(operation));
        return this.createAnswer({ succeeded, responses }, operations.some(operation => operation.request_put));
    }

    leaseGrant(body: unknown): StandinAnswer {
        const { TTL } = etcdRequestSchemas.leaseGrant.parse(body);
        if (TTL < 1) {
            return createErrorAnswer(
                badRequestStatus,
                invalidArgumentGrpcCode,
                "The time to live of a lease must be at least 1 second.",
            );
        }
        return this.createAnswer({ ID: this.state.leases.grant(TTL), TTL: String(TTL) }, true);
    }

    leaseKeepAlive(body: unknown): StandinAnswer {
        const { ID } = etcdRequestSchemas.lease.parse(body);
        const seconds = this.state.leases.renew(ID);
        const result = { header: this.createHeader(), ID, TTL: seconds === 0 ? undefined : String(seconds) };
        return { status: okStatus, body: { result }, hasWritten: false };
    }

    leaseRevoke(body: unknown): StandinAnswer {
        const { ID } = etcdRequestSchemas.lease.parse(body);
        return this.state.revokeLease(ID) ? this.createAnswer({}, true) : createUnknownLeaseAnswer();
    }

    private findPutError(operations: Operation[]): StandinAnswer | undefined {
        for (const { request_put: put } of operations) {
            if (put !== undefined && Buffer.byteLength(put.value, "base64") > maximumValueBytes) {
                return createErrorAnswer(badRequestStatus, invalidArgumentGrpcCode, "etcdserver: request is too large");
            }
            if (put !== undefined && put.lease !== noLease && !this.state.leases.has(put.lease)) {
                return createUnknownLeaseAnswer();
            }
        }
        return undefined;
    }

    private runOperation({ request_put: put, request_range: range }: Operation): object {
        if (put !== undefined) {
            this.state.put(put.key, put.value, put.lease);
            return { response_put: { header: this.createHeader() } };
        }
        return range === undefined ? {} : { response_range: { header: this.createHeader(), ...this.readRange(range) } };
    }

    private readRange({ key, range_end: rangeEnd, limit }: RangeRequest): object {
        const single = rangeEnd === "" ? this.state.getRecord(key) : undefined;
        const records = single === undefined ? this.state.getRecords(createRangePredicate(key, rangeEnd)) : [single];
        const page = limit > 0 ? records.slice(0, limit) : records;
        return {
            kvs: page.map(formatKeyRecord),
            more: page.length < records.length ? true : undefined,
            count: String(records.length),
        };
    }

    private createAnswer(body: object, hasWritten: boolean): StandinAnswer {
        return { status: okStatus, body: { header: this.createHeader(), ...body }, hasWritten };
    }

    private createHeader(): object {
        return createHeader(this.state.getRevision());
    }
}

function createErrorAnswer(status: number, code: number, message: string): StandinAnswer {
    return { status, body: { code, message, details: [] }, hasWritten: false };
}

function createUnknownLeaseAnswer(): StandinAnswer {
    return createErrorAnswer(notFoundStatus, notFoundGrpcCode, "etcdserver: requested lease not found");
}
