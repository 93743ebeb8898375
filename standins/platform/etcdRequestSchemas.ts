import { z } from "zod";

/** A 64-bit integer, which the JSON form writes as a string. The default is 0. */
const integer = z.union([z.string(), z.number()]).default("0").transform(text => Number(text)).pipe(z.int());
/** A 64-bit lease ID. Kept as a string because it may not fit in a JavaScript number. */
const leaseId = z.union([z.string(), z.number()]).default("0").transform(id => String(id));
/** Bytes as a string with one character per byte. */
const bytes = z.base64().default("").transform(encoded => Buffer.from(encoded, "base64").toString("latin1"));

const range = z.object({ key: bytes, range_end: bytes, limit: integer });
const operation = z.object({
    request_put: z.object({ key: bytes, value: z.base64().default(""), lease: leaseId }).optional(),
    request_range: range.optional(),
});
const operations = z.array(operation).max(1).default([]);

/** Schemas of the supported etcd v3 requests in the format of the JSON gateway. */
export const etcdRequestSchemas = {
    range,
    transaction: z.object({
        compare: z.array(z.object({
            key: bytes,
            target: z.literal("MOD"),
            result: z.literal("EQUAL").default("EQUAL"),
            mod_revision: integer,
        })).default([]),
        success: operations,
        failure: operations,
    }),
    leaseGrant: z.object({ TTL: integer }),
    lease: z.object({ ID: leaseId }),
    watch: z.object({
        create_request: z.object({
            key: bytes,
            range_end: bytes,
            start_revision: integer,
            progress_notify: z.boolean().default(false),
        }),
    }),
};
