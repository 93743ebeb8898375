import {
    create,
    type DescService,
    fromBinary,
    type MessageInitShape,
    type MessageShape,
    toBinary,
} from "@bufbuild/protobuf";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { ProcessorAccount } from "../../../process/loop/processorAccount.ts";
import { ProcessorCause } from "../../../process/loop/processorCause.ts";
import { parseAddress } from "../../../process/settings/parseAddress.ts";
import { closeServer } from "../../closeServer.ts";
import { encodeFrame } from "./encodeFrame.ts";
import type { Frame } from "./frame.ts";
import { FrameKind } from "./frameKind.ts";
import { frameLayout } from "./frameLayout.ts";
import { FrameReader } from "./frameReader.ts";
import { JsonCodec } from "./jsonCodec.ts";
import { jsonMethod } from "./jsonMethod.ts";

/** Handlers of the unary methods of a service. */
type UnaryHandlers<Service extends DescService> = {
    [Name in keyof Service["method"]]: (
        request: MessageShape<Service["method"][Name]["input"]>,
    ) => MessageInitShape<Service["method"][Name]["output"]>;
};

/** Options of a {@link FramedServer}. */
interface FramedServerOptions<Service extends DescService> {
    /** Address to listen on, as host:port. */
    address: string;
    service: Service;
    handlers: UnaryHandlers<Service>;
}

/** Handles a call with an encoded input and returns the encoded output. */
type EncodedHandler = (payload: Uint8Array) => Uint8Array;

const account = ProcessorAccount.ofProcess;
/** Callers close idle connections after a minute. This closes the remaining ones. */
const idleTimeoutMilliseconds = 180_000;
/** Size of the unsent answers above which the connection of a caller that doesn't read them is closed. */
const maximumUnsentBytes = 2 * frameLayout.maximumBytes;

/** The server for calls of peers over framed connections. */
export class FramedServer {
    private readonly server: Server;
    private readonly handlers: ReadonlyMap<string, EncodedHandler>;
    private readonly sockets = new Set<Socket>();

    private constructor(handlers: ReadonlyMap<string, EncodedHandler>) {
        this.handlers = handlers;
        this.server = createServer({ noDelay: true }, socket => this.serve(socket));
    }

    /**
     * Starts listening.
     * @throws If listening on the address fails.
     */
    static async create<Service extends DescService>(options: FramedServerOptions<Service>): Promise<FramedServer> {
        const { address, service, handlers } = options;
        const encoded = new Map<string, EncodedHandler>();
        for (const method of service.methods) {
            const handle = handlers[method.localName as keyof typeof handlers] as (request: unknown) => never;
            const input = JsonCodec.create(method.input);
            const output = JsonCodec.create(method.output);
            encoded.set(jsonMethod.getName(method.name), payload => {
                const answer = handle(account.run(ProcessorCause.PeerDecode, () => input.decode(payload)));
                return account.run(ProcessorCause.PeerEncode, () => output.encode(answer));
            });
            // Callers of an older release.
            encoded.set(method.name, payload => {
                const answer = handle(account.run(ProcessorCause.PeerDecode, () => fromBinary(method.input, payload)));
                return account.run(
                    ProcessorCause.PeerEncode,
                    () => toBinary(method.output, create(method.output, answer)),
                );
            });
        }
        const created = new FramedServer(encoded);
        await new Promise<void>((resolve, reject) => {
            created.server.once("error", reject);
            created.server.listen(parseAddress(address), resolve);
        });
        return created;
    }

    /** Gets the port that the server listens on. */
    getPort(): number {
        return (this.server.address() as AddressInfo).port;
    }

    /** Stops listening and closes all connections. */
    close(): Promise<void> {
        return closeServer(this.server, this.sockets);
    }

    private serve(socket: Socket): void {
        const reader = FrameReader.create();
        this.sockets.add(socket);
        socket.once("close", () => this.sockets.delete(socket));
        // The caller has disconnected, so its calls need no answers.
        socket.on("error", () => socket.destroy());
        socket.setTimeout(idleTimeoutMilliseconds, () => socket.destroy());
        socket.on("data", (chunk: Buffer) => {
            account.runPart(ProcessorCause.PeerDecode, () => this.handleData(socket, reader, chunk));
        });
    }

    private handleData(socket: Socket, reader: FrameReader, chunk: Buffer): void {
        const frames = reader.push(chunk);
        if (frames.err || socket.writableLength > maximumUnsentBytes) {
            socket.destroy();
            return;
        }
        for (const frame of frames.val) {
            socket.write(encodeFrame(this.answer(frame)));
        }
    }

    private answer({ callId, method, payload }: Frame): Frame {
        const handle = this.handlers.get(method);
        if (handle === undefined) {
            return createFailure(callId, jsonMethod.describeUnknown(method));
        }
        try {
            return { callId, kind: FrameKind.Answer, method: "", payload: handle(payload) };
        }
        catch (error) {
            return createFailure(callId, error instanceof Error ? error.message : String(error));
        }
    }
}

function createFailure(callId: number, message: string): Frame {
    return { callId, kind: FrameKind.Failure, method: "", payload: Buffer.from(message) };
}
