import type { KeyRecord } from "./keyRecord.ts";

/** Formats a record as a `KeyValue` of the etcd v3 API in JSON. */
export function formatKeyRecord(record: KeyRecord): object {
    return {
        key: Buffer.from(record.key, "latin1").toString("base64"),
        value: record.value,
        create_revision: String(record.createRevision),
        mod_revision: String(record.modRevision),
        version: String(record.version),
        lease: record.leaseId === "0" ? undefined : record.leaseId,
    };
}
