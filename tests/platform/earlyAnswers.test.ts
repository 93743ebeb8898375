import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { after, before, describe, it } from "node:test";
import { createEndpointRecord } from "../../standins/router/createEndpointRecord.ts";
import { waitUntil } from "../support/waitUntil.ts";
import { RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

const bodyLength = 90_000;
const pauseMilliseconds = 300;
const answer = "early";

/** An endpoint that responds as soon as it has the head of a request, and reads the rest of the body later. */
class EarlyEndpoint {
    /** Data received on each connection. */
    readonly received: string[] = [];
    private readonly server: Server;
    private readonly sockets: Socket[] = [];

    private constructor() {
        this.server = createServer({ highWaterMark: 1_024 }, socket => this.accept(socket));
    }

    static async create(): Promise<EarlyEndpoint> {
        const endpoint = new EarlyEndpoint();
        await new Promise<void>(resolve => endpoint.server.listen(0, "127.0.0.1", resolve));
        return endpoint;
    }

    getAddress(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    close(): void {
        for (const socket of this.sockets) {
            socket.destroy();
        }
        this.server.close();
    }

    private accept(socket: Socket): void {
        const index = this.received.push("") - 1;
        this.sockets.push(socket);
        socket.on("error", () => undefined);
        socket.on("data", (bytes: Buffer) => {
            const before = this.received[index]!;
            this.received[index] = before + bytes.toString("latin1");
            const id = [...this.received[index].matchAll(/request-id: (\S+)/gi)].at(-1)?.[1];
            const heads = this.received[index].match(/request-id: /gi)?.length ?? 0;
            if (heads > (before.match(/request-id: /gi)?.length ?? 0)) {
                socket.pause();
                setTimeout(() => socket.resume(), pauseMilliseconds);
                socket.write(
                    `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nresponse-seal: s\r\ncontent-length: ${answer.length}\r\n\r\n${answer}`,
                );
            }
        });
    }
}

describe("Responses that arrive before a long body is read", () => {
    let harness: RouterTestHarness;
    let node: StartedNode;
    let endpoint: EarlyEndpoint;

    before(async () => {
        harness = await RouterTestHarness.create();
        endpoint = await EarlyEndpoint.create();
        const record = createEndpointRecord({ service: "documents", address: endpoint.getAddress() });
        harness.store.put("servers/early", record);
        node = await harness.addNode();
        await harness.waitForEndpoints(node, 1);
    });

    after(async () => {
        await harness.close();
        endpoint.close();
    });

    it("reach the caller, and only the rest of that body follows on the connection", async () => {
        const body = "b".repeat(bodyLength);
        const first = await harness.send(node, "/unsafe/first", { body });
        assert.deepEqual([first.status, first.body], [200, answer]);
        const second = await harness.send(node, "/unsafe/second", { body: "c".repeat(100) });
        assert.equal(second.status, 200);
        await waitUntil("the bodies have come", () => endpoint.received.join("").includes("c".repeat(100)));
        for (const text of endpoint.received) {
            for (const [head, ...rest] of splitRequests(text)) {
                const length = Number(/content-length: (\d+)/i.exec(head!)?.[1] ?? 0);
                const [letter] = rest[0]?.[0] ?? "";
                assert.ok(rest[0]!.length <= length, "More bytes came than the body has.");
                assert.equal(rest[0], (letter ?? "").repeat(rest[0]!.length), "Other bytes came within the body.");
            }
        }
    });
});

/** Splits the data of a connection into requests, each with its head and its body. */
function splitRequests(text: string): [string, string][] {
    return text.split(/(?=POST )/).map(part => {
        const end = part.indexOf("\r\n\r\n");
        return [part.slice(0, end), part.slice(end + 4)];
    });
}
