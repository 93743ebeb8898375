import * as z from "zod";

/** Decodes a 64-bit integer, which JSON represents as a string. A missing one is 0. */
const integer = z.union([z.string(), z.number()]).default("0").transform(text => Number(text)).pipe(z.int());
/** Decodes a base64 string. A missing one is empty. */
const text = z.string().default("").transform(encoded => Buffer.from(encoded, "base64").toString("utf8"));

const header = z.object({ revision: integer });
const keyValue = z.object({ key: text, value: text, mod_revision: integer })
    .transform(record => ({ key: record.key, value: record.value, revision: record.mod_revision }));
const range = z.object({ header, kvs: z.array(keyValue).default([]), more: z.boolean().default(false) });
const watchResult = z.object({
    header,
    canceled: z.boolean().default(false),
    compact_revision: integer,
    events: z.array(z.object({ type: z.enum(["PUT", "DELETE"]).default("PUT"), kv: keyValue })).default([]),
});

/**
 * Schemas of the responses of the etcd v3 JSON gateway, limited to the fields that the store reads. The gateway omits fields with
 * their default value. Source: `rpc.proto` of the published etcd v3 API.
 */
export const etcdSchemas = {
    range,
    transaction: z.object({
        header,
        succeeded: z.boolean().default(false),
        responses: z.array(z.object({ response_range: range.omit({ header: true }).optional() })).default([]),
    }),
    leaseGrant: z.object({ ID: z.string() }),
    /** A time to live of 0 means that the lease has expired. */
    leaseKeepAlive: z.object({ result: z.object({ TTL: integer }) }),
    leaseRevoke: z.object({ header }),
    watch: z.object({ result: watchResult }),
    failure: z.object({ code: z.int(), message: z.string() }),
};
