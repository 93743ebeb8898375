import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { DocumentConnection } from "../../../src/connection/document/documentConnection.ts";
import { RawEndpoint } from "../../../standins/network/rawEndpoint.ts";
import { EndlessEndpoint } from "../../../standins/router/endlessEndpoint.ts";
import type { EndlessForm } from "../../../standins/router/endlessForm.ts";
import { endlessForms } from "../../../standins/router/endlessForms.ts";
import { toEndpointAddress } from "../../support/toEndpointAddress.ts";
import { waitUntil } from "../../support/waitUntil.ts";
import { documentFaultCases } from "./documentFaultCases.ts";

const call = { method: "POST", path: "/a", headers: {}, body: Buffer.from("body"), isIdempotent: false };
const timeoutMilliseconds = 400;

const callbacks = { onInstructions: () => undefined, onConnectionRefused: () => undefined };

describe("DocumentConnection", () => {
    let endpoint: RawEndpoint;
    let connection: DocumentConnection;

    before(async () => {
        endpoint = await RawEndpoint.create();
        connection = DocumentConnection.create({
            endpoint: "document",
            address: toEndpointAddress(endpoint.getAddress()),
            ...callbacks,
        });
    });

    after(async () => {
        await connection.close();
        await endpoint.close();
    });

    async function send(
        options: RawEndpoint["options"],
        change: Partial<typeof call> = {},
        signal = AbortSignal.timeout(timeoutMilliseconds),
    ) {
        endpoint.options = options;
        endpoint.requests.length = 0;
        endpoint.connections = 0;
        return await connection.send({ ...call, ...change }, signal);
    }

    for (const [fault, options] of Object.entries(documentFaultCases)) {
        it(`reports that a call may have run and sends it only once if the service ${fault}`, async () => {
            for (const isIdempotent of [false, true]) {
                const answer = await send(options, { isIdempotent });
                assert.equal(answer.ok ? "answered" : answer.val.kind, "unknown");
                assert.equal(endpoint.connections <= 1 && endpoint.requests.length <= 1, true);
                connection.replace();
            }
        });
    }

    // Guards against a service that fills the memory of a node, or takes all of a link until its call times out.
    for (const [name, form] of Object.entries<EndlessForm>(endlessForms)) {
        it(`ends a call before its timeout whose response never ends: ${name}`, async context => {
            const endless = await EndlessEndpoint.create({ form });
            const caller = DocumentConnection.create({
                endpoint: "e",
                address: toEndpointAddress(endless.getAddress()),
                ...callbacks,
            });
            context.after(async () => {
                await endless.close();
                await caller.close();
            });
            const signal = AbortSignal.timeout(10_000);
            const answer = await caller.send({ ...call, isIdempotent: true }, signal);
            assert.ok(answer.err);
            assert.ok(!signal.aborted);
            await waitUntil(
                "the connection is closed",
                () => endless.connections.every(each => each.milliseconds !== undefined),
            );
            const bytes = Math.max(...endless.connections.map(each => each.bytes));
            assert.ok(bytes < 26_000_000, `The connection took ${bytes} bytes.`);
        });
    }

    it("treats a 429 response as a refusal, even if its body does not end", async () => {
        const onRequest: RawEndpoint["options"]["onRequest"] = socket => {
            socket.write("HTTP/1.1 429 Busy\r\ncontent-length: 100\r\n\r\npart");
        };
        for (const isIdempotent of [false, true]) {
            const answer = await send({ onRequest }, { isIdempotent }, new AbortController().signal);
            assert.equal(answer.ok ? "answered" : answer.val.kind, "refused");
        }
    });

    it("reports that nothing was sent if no connection is established", async () => {
        const closed = DocumentConnection.create({
            endpoint: "closed",
            address: toEndpointAddress("127.0.0.1:1"),
            ...callbacks,
        });
        const answer = await closed.send(call, AbortSignal.timeout(timeoutMilliseconds));
        assert.equal(answer.ok ? "answered" : answer.val.kind, "notSent");
        await closed.close();
    });

    it("returns the complete answer regardless of its chunks", async () => {
        const onRequest: RawEndpoint["options"]["onRequest"] = socket => {
            socket.write("HTTP/1.1 201 Created\r\ncontent-type: text/x\r\ntransfer-encoding: chunked\r\n\r\n");
            for (const piece of ["ab", "c", "def"]) {
                socket.write(`${piece.length}\r\n${piece}\r\n`);
            }
            socket.end("0\r\n\r\n");
        };
        const answer = await send({ onRequest });
        assert.ok(answer.ok);
        assert.deepEqual(answer.val, { status: 201, contentType: "text/x", body: Buffer.from("abcdef") });
    });

    it("requests an answer that is not encoded, since the encoding is not forwarded", async () => {
        const onRequest: RawEndpoint["options"]["onRequest"] = socket => {
            socket.end("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        };
        await send({ onRequest }, { headers: { "accept-encoding": "gzip", "x-kept": "1" } });
        assert.match(endpoint.requests[0]!, /\r\naccept-encoding: identity\r\n/i);
        assert.doesNotMatch(endpoint.requests[0]!, /gzip/);
        assert.match(endpoint.requests[0]!, /x-kept: 1/);
    });
});
