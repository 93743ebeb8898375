import { create, fromBinary, type MessageInitShape, toBinary } from "@bufbuild/protobuf";
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { JsonCodec } from "../../../../src/connection/peer/framed/jsonCodec.ts";
import {
    FetchResponseSchema,
    NodeStateSchema,
    StoreRecordSchema,
} from "../../../../src/wire/generated/foxlead/router/v1/router_pb.ts";

const uint32 = fc.nat(0xffff_ffff);
const uint64 = fc.bigInt(0n, 2n ** 64n - 1n);
const anyState: fc.Arbitrary<MessageInitShape<typeof NodeStateSchema>> = fc.record({
    sender: fc.option(fc.record({ nodeId: fc.string(), age: uint32, isWithoutStore: fc.boolean() }), {
        nil: undefined,
    }),
    loads: fc.array(fc.record({ endpointId: fc.string({ unit: "binary" }), tokenLayers: fc.double() })),
    endpointLimits: fc.array(fc.record({ requestsPerSecond: fc.option(fc.double(), { nil: undefined }) })),
    frontiers: fc.array(fc.record({ section: fc.string(), revision: uint64 })),
    demand: fc.double(),
    knownNodes: uint32,
});

/** Removes the differences that have no meaning: absent fields that are set to undefined, and the sign of 0. */
function normalize(message: unknown): unknown {
    return JSON.parse(JSON.stringify(
        message,
        (_key, value: unknown) => typeof value === "bigint" || typeof value === "number" ? String(value) : value,
    ));
}

describe("JsonCodec", () => {
    const codec = JsonCodec.create(NodeStateSchema);

    it("returns the same message as the binary codec, so that the encoding of a peer's release makes no difference", () => {
        fc.assert(fc.property(anyState, init => {
            const expected = fromBinary(NodeStateSchema, toBinary(NodeStateSchema, create(NodeStateSchema, init)));
            assert.deepEqual(normalize(codec.decode(codec.encode(init))), normalize(expected));
        }));
    });

    it("ignores fields of a newer release and uses defaults for those that an older one lacks", () => {
        const records = JsonCodec.create(StoreRecordSchema);
        const longer = Buffer.from(JSON.stringify(["k", 7, 1, "text", 0, "", "new field"]));
        assert.deepEqual(
            records.decode(longer),
            create(StoreRecordSchema, {
                key: "k",
                revision: 7n,
                isDeleted: true,
                text: "text",
            }),
        );
        assert.deepEqual(records.decode(Buffer.from("[]")), create(StoreRecordSchema));
    });

    it("rejects values of the wrong type, which would otherwise reach the node's state", () => {
        const changes = JsonCodec.create(FetchResponseSchema);
        for (
            const text of ["", "{}", "[[],[]]", "[[1]]", '[["s",-1]]', '[["s",1,2]]', '[["s",1,0,[null]]]', "[[],1.5]"]
        ) {
            assert.throws(() => changes.decode(Buffer.from(text)), text);
        }
    });

    it("throws only the errors of malformed input, whatever the bytes", () => {
        fc.assert(fc.property(fc.oneof(fc.json(), fc.string()), text => {
            try {
                codec.decode(Buffer.from(text));
            }
            catch (error) {
                assert.ok(error instanceof TypeError || error instanceof SyntaxError);
            }
        }));
    });
});
