import {
    type DescField,
    type DescMessage,
    type MessageInitShape,
    type MessageShape,
    ScalarType,
} from "@bufbuild/protobuf";
import { InvariantError } from "../../../process/invariantError.ts";

/** A message or an initializer of one, by field name. */
type Fields = Record<string, unknown>;

/** Converts between a value of a message and its JSON form. */
interface ValueCodec {
    encode(value: unknown): unknown;
    /** Decodes a value; undefined and null stand for an absent one. Throws if the type is wrong. */
    decode(json: unknown): unknown;
}

/** A field of a message. */
interface FieldCodec extends ValueCodec {
    name: string;
    /** Index in the array: the field number - 1. */
    index: number;
}

const maximumUint32 = 0xffff_ffff;
const digits = /^[0-9]{1,20}$/;
/** JSON has no form for these numbers. */
const nonFiniteNumbers: ReadonlyMap<unknown, number> = new Map([
    ["Infinity", Infinity],
    ["-Infinity", -Infinity],
    ["NaN", NaN],
]);

/**
 * Encodes messages as JSON, with an array for each message, whose indexes are the field numbers - 1. Both fields that the sender
 * doesn't know and fields that the receiver doesn't know are handled as in the binary format.
 *
 * A node with a small share of a core runs this code mostly in the interpreter. There, the binary codec takes many times as long as
 * JSON's, which is native code.
 */
export class JsonCodec<Schema extends DescMessage> {
    private readonly typeName: string;
    private readonly fields: FieldCodec[] = [];

    private constructor({ typeName }: DescMessage) {
        this.typeName = typeName;
    }

    /** Creates a codec for a type of messages, which may not contain itself. */
    static create<Schema extends DescMessage>(schema: Schema): JsonCodec<Schema> {
        const codec = new JsonCodec<Schema>(schema);
        for (const field of schema.fields) {
            codec.fields.push({ name: field.localName, index: field.number - 1, ...createFieldCodec(field) });
        }
        return codec;
    }

    /** Encodes a message. Fields that the initializer lacks have their default values. */
    encode(message: MessageInitShape<Schema>): Buffer {
        return Buffer.from(JSON.stringify(this.toArray(message as Fields)));
    }

    /**
     * Decodes a message.
     * @throws TypeError or SyntaxError if the bytes are no message of this type.
     */
    decode(bytes: Uint8Array): MessageShape<Schema> {
        const text = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString("utf8");
        return this.fromArray(JSON.parse(text)) as MessageShape<Schema>;
    }

    /** Converts a message to its array. */
    private toArray(message: Fields): unknown[] {
        const values: unknown[] = [];
        for (const { name, index, encode } of this.fields) {
            const value = message[name];
            values[index] = value === undefined ? undefined : encode(value);
        }
        return values;
    }

    private fromArray(values: unknown): Fields {
        if (!Array.isArray(values)) {
            throw new TypeError(`The JSON form of ${this.typeName} is not an array.`);
        }
        const message: Fields = { $typeName: this.typeName };
        for (const { name, index, decode } of this.fields) {
            message[name] = decode(values[index]);
        }
        return message;
    }

    /** Creates the codec of a field that holds such a message. */
    createValueCodec(): ValueCodec {
        return {
            encode: value => this.toArray(value as Fields),
            decode: json => isAbsent(json) ? undefined : this.fromArray(json),
        };
    }
}

function createFieldCodec(field: DescField): ValueCodec {
    if (field.oneof === undefined && field.fieldKind === "message") {
        return JsonCodec.create(field.message).createValueCodec();
    }
    if (field.oneof === undefined && field.fieldKind === "scalar") {
        const { encode, decode } = createScalarCodec(field.scalar);
        // A field with explicit presence is absent by default.
        const decodePresent = (json: unknown) => isAbsent(json) ? undefined : decode(json);
        return { encode, decode: field.proto.proto3Optional ? decodePresent : decode };
    }
    if (field.fieldKind === "list" && field.listKind === "message") {
        return createListCodec(JsonCodec.create(field.message).createValueCodec());
    }
    if (field.fieldKind === "list" && field.listKind === "scalar") {
        return createListCodec(createScalarCodec(field.scalar));
    }
    throw InvariantError.create("jsonCodecFields", `The JSON codec has no form for ${field.toString()}.`);
}

function createListCodec({ encode, decode }: ValueCodec): ValueCodec {
    const decodeItem = (json: unknown) => isAbsent(json) ? failToDecode(json) : decode(json);
    return {
        encode: values => (values as unknown[]).map(value => encode(value)),
        decode: json => Array.isArray(json) ? json.map(decodeItem) : getDefault(json, []),
    };
}

function createScalarCodec(type: ScalarType): ValueCodec {
    switch (type) {
        case ScalarType.STRING:
            return {
                encode: value => value,
                decode: json => typeof json === "string" ? json : getDefault(json, ""),
            };
        case ScalarType.BOOL:
            return {
                encode: value => value === true ? 1 : 0,
                decode: json => json === 1 || json !== 0 && getDefault(json, false),
            };
        case ScalarType.UINT32:
            return {
                encode: value => value,
                decode: json => isUnsigned(json) && json <= maximumUint32 ? json : getDefault(json, 0),
            };
        case ScalarType.UINT64:
            return {
                encode: value => value as bigint > Number.MAX_SAFE_INTEGER ? String(value) : Number(value),
                decode: json => isUnsigned(json) || isDigits(json) ? BigInt(json) : getDefault(json, 0n),
            };
        case ScalarType.DOUBLE:
            return {
                encode: value => Number.isFinite(value) ? value : String(value),
                decode: json => typeof json === "number" ? json : nonFiniteNumbers.get(json) ?? getDefault(json, 0),
            };
        default:
            throw InvariantError.create("jsonCodecFields", `The JSON codec has no form for ${ScalarType[type]}.`);
    }
}

function isAbsent(json: unknown): json is undefined | null {
    return json === undefined || json === null;
}

function isUnsigned(json: unknown): json is number {
    return Number.isSafeInteger(json) && json as number >= 0;
}

function isDigits(json: unknown): json is string {
    return typeof json === "string" && digits.test(json);
}

/** Gets the default of an absent value. Throws if there is a value, since it has the wrong type. */
function getDefault<Value>(json: unknown, value: Value): Value {
    return isAbsent(json) ? value : failToDecode(json);
}

function failToDecode(json: unknown): never {
    throw new TypeError(`The value ${JSON.stringify(json)} has the wrong type.`);
}
