import type { KeyRecord } from "./keyRecord.ts";

/** Formats a record as the JSON form of an etcd v3 `KeyValue`. */
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
