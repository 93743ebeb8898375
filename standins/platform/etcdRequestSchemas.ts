import { z } from "zod";

/** A 64-bit integer, which the JSON form writes as a string; an absent one is 0. */
const integer = z.union([z.string(), z.number()]).default("0").transform(text => Number(text)).pipe(z.int());
/** A 64-bit lease ID, too long for a number. */
const leaseId = z.union([z.string(), z.number()]).default("0").transform(id => String(id));
/** Bytes as one character each. */
const bytes = z.base64().default("").transform(encoded => Buffer.from(encoded, "base64").toString("latin1"));

const range = z.object({ key: bytes, range_end: bytes, limit: integer });
const operation = z.object({
    request_put: z.object({ key: bytes, value: z.base64().default(""), lease: leaseId }).optional(),
    request_range: range.optional(),
});
const operations = z.array(operation).max(1).default([]);

/** Requests of the etcd v3 API in the form of its JSON gateway, as far as the stand-in knows them. */
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
