import { create, type DescMethod, fromBinary, type MessageInitShape, toBinary } from "@bufbuild/protobuf";
import { Code, ConnectError, type Transport } from "@connectrpc/connect";
import { ProcessorAccount } from "../../../process/loop/processorAccount.ts";
import { ProcessorCause } from "../../../process/loop/processorCause.ts";
import type { FramedConnection } from "./framedConnection.ts";
import { JsonCodec } from "./jsonCodec.ts";
import { jsonMethod } from "./jsonMethod.ts";

const account = ProcessorAccount.ofProcess;
const defaultTimeoutMilliseconds = 2_000;
/** Frames carry no headers. */
const noHeaders = new Headers();

/** Codecs of all connections, which have the same methods. */
const jsonCodecs = new Map<DescMethod, MethodCodec>();
/** Encoded messages, since the same message is sent to several peers. It must not change after it is first sent. */
const encoded = new WeakMap<object, Uint8Array>();

/** Calls of a method with messages in one of the encodings. */
interface MethodCodec<Method extends DescMethod = DescMethod> {
    /** Name of the method in frames. */
    name: string;
    encode(message: MessageInitShape<Method["input"]>): Uint8Array;
    decode(payload: Uint8Array): unknown;
}

/**
 * Creates a client transport that uses a framed connection. For short messages between nodes, HTTP/2 would cost several
 * times as much as the message itself. Messages are sent as JSON, unless the peer is of a release that only knows binary ones.
 */
export function createFramedTransport(connection: FramedConnection): Transport {
    let isBinary = false;

    async function call(codec: MethodCodec, input: MessageInitShape<DescMethod["input"]>, timeout: number) {
        const payload = account.run(ProcessorCause.PeerEncode, () => codec.encode(input));
        const answer = await connection.call(codec.name, payload, timeout);
        return account.run(ProcessorCause.PeerDecode, () => codec.decode(answer));
    }

    async function callWithBestCodec(
        method: DescMethod,
        input: MessageInitShape<DescMethod["input"]>,
        timeout: number,
    ): Promise<unknown> {
        if (!isBinary) {
            const codec = jsonCodecs.get(method) ?? createJsonMethodCodec(method);
            jsonCodecs.set(method, codec);
            try {
                return await call(codec, input, timeout);
            }
            catch (error) {
                if (!jsonMethod.isUnknown(error)) {
                    throw error;
                }
                isBinary = true;
            }
        }
        return call(createBinaryMethodCodec(method), input, timeout);
    }

    return {
        async unary(method, _signal, timeoutMilliseconds, _header, input) {
            const timeout = timeoutMilliseconds ?? defaultTimeoutMilliseconds;
            return {
                stream: false,
                service: method.parent,
                method,
                header: noHeaders,
                trailer: noHeaders,
                message: await callWithBestCodec(method, input, timeout) as never,
            };
        },
        stream: () =>
            Promise.reject(new ConnectError("Framed connections do not support streaming calls.", Code.Unimplemented)),
    };
}

function createJsonMethodCodec({ name, input, output }: DescMethod): MethodCodec {
    const inputCodec = JsonCodec.create(input);
    const outputCodec = JsonCodec.create(output);
    return {
        name: jsonMethod.getName(name),
        encode: message => {
            const payload = encoded.get(message) ?? inputCodec.encode(message);
            encoded.set(message, payload);
            return payload;
        },
        decode: payload => outputCodec.decode(payload),
    };
}

function createBinaryMethodCodec({ name, input, output }: DescMethod): MethodCodec {
    return {
        name,
        encode: message => toBinary(input, create(input, message)),
        decode: payload => fromBinary(output, payload),
    };
}
