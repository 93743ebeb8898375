import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { Code, ConnectError, type Transport } from "@connectrpc/connect";
import { ProcessorAccount } from "../../../process/loop/processorAccount.ts";
import { ProcessorCause } from "../../../process/loop/processorCause.ts";
import type { FramedConnection } from "./framedConnection.ts";

const account = ProcessorAccount.ofProcess;
const defaultTimeoutMilliseconds = 2_000;
/** Frames carry no headers. */
const noHeaders = new Headers();

/**
 * Creates a client transport that uses a framed connection. For short messages between nodes, HTTP/2 would cost several
 * times as much as the message itself.
 */
export function createFramedTransport(connection: FramedConnection): Transport {
    return {
        async unary(method, _signal, timeoutMilliseconds, _header, input) {
            const payload = account.run(
                ProcessorCause.PeerEncode,
                () => toBinary(method.input, create(method.input, input)),
            );
            const timeout = timeoutMilliseconds ?? defaultTimeoutMilliseconds;
            const answer = await connection.call(method.name, payload, timeout);
            return {
                stream: false,
                service: method.parent,
                method,
                header: noHeaders,
                trailer: noHeaders,
                message: account.run(ProcessorCause.PeerDecode, () => fromBinary(method.output, answer)),
            };
        },
        stream: () =>
            Promise.reject(new ConnectError("Framed connections do not support streaming calls.", Code.Unimplemented)),
    };
}
