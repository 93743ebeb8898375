import { create } from "@bufbuild/protobuf";
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { PeerConnections } from "../../../src/connection/peer/peerConnections.ts";
import { PeerErrorKind } from "../../../src/connection/peer/peerErrorKind.ts";
import { PeerServer } from "../../../src/connection/peer/peerServer.ts";
import {
    ClaimRequestSchema,
    GetConfigurationRequestSchema,
} from "../../../src/wire/generated/foxlead/peer/v1/peer_pb.ts";
import { LoopbackProxy } from "../../../standins/network/loopbackProxy.ts";
import { waitUntil } from "../../support/waitUntil.ts";

const secret = "test-secret";
const request = create(GetConfigurationRequestSchema, { knownVersion: 1n });

describe("PeerConnections and PeerServer", () => {
    const numbers: number[] = [];
    const log = { write: (event: { number: number; }) => numbers.push(event.number) };
    let server: PeerServer;
    let proxy: LoopbackProxy;
    let connections: PeerConnections;
    let finishClaim: () => void;

    beforeEach(async () => {
        numbers.length = 0;
        const claimed = new Promise<void>(resolve => finishClaim = resolve);
        server = await PeerServer.create({
            address: "127.0.0.1:0",
            secret,
            log,
            handlers: {
                gossip: async () => {
                    throw new Error("Broken.");
                },
                announceConfiguration: async () => ({}),
                getConfiguration: async ({ knownVersion }) => ({ version: knownVersion + 1n, text: "{}" }),
                claim: async () => {
                    await claimed;
                    return { verdicts: [{ outcome: "granted" }] };
                },
                getKeptAnswer: async () => ({}),
                takeKeptAnswers: async () => ({}),
            },
        });
        proxy = await LoopbackProxy.create(() => server.getAddress());
        connections = createConnections(secret);
    });

    afterEach(async () => {
        finishClaim();
        connections.close();
        await proxy.close();
        await server.close(0);
    });

    function createConnections(ownSecret: string): PeerConnections {
        return PeerConnections.create({ secret: ownSecret, log, timeoutMilliseconds: 300, maximumCallsPerPeer: 2 });
    }

    async function getKind(source: PeerConnections, address: string): Promise<string | undefined> {
        const result = await source.getConfiguration(address, request);
        return result.ok ? undefined : result.val.kind;
    }

    it("shares one connection between calls", async () => {
        assert.equal(await getKind(connections, proxy.getAddress()), undefined);
        assert.equal(await getKind(connections, proxy.getAddress()), undefined);
        assert.equal(proxy.getConnectionCount(), 1);
    });

    it("rejects a wrong secret before calling the handler", async () => {
        const callers = createConnections("wrong");
        assert.equal(await getKind(callers, server.getAddress()), PeerErrorKind.Unauthenticated);
        callers.close();
        assert.deepEqual(numbers, [1411]);
    });

    it("replaces a connection that stopped responding", async () => {
        assert.equal(await getKind(connections, proxy.getAddress()), undefined);
        proxy.freezeConnections();
        assert.equal(await getKind(connections, proxy.getAddress()), PeerErrorKind.TimedOut);
        assert.equal(await getKind(connections, proxy.getAddress()), undefined);
        assert.deepEqual(numbers, [1410]);
    });

    it("doesn't abort the other calls of a connection on which one exceeded its deadline", async () => {
        const claim = connections.claim(proxy.getAddress(), create(ClaimRequestSchema, {}), {
            timeoutMilliseconds: 9_000,
        });
        const late = await connections.claim(proxy.getAddress(), create(ClaimRequestSchema, {}));
        assert.equal(late.err && late.val.kind, PeerErrorKind.TimedOut);
        finishClaim();
        const result = await claim;
        assert.equal(result.ok && result.val.verdicts[0]?.outcome, "granted");
        await waitUntil("the replaced connection is closed", () => proxy.getConnectionCount() === 0);
    });

    it("reconnects after the connection is closed", async () => {
        assert.equal(await getKind(connections, proxy.getAddress()), undefined);
        proxy.closeConnections();
        await waitUntil("the connection is closed", () => proxy.getConnectionCount() === 0);
        await new Promise(resolve => setImmediate(resolve));
        assert.equal(await getKind(connections, proxy.getAddress()), undefined);
    });

    it("limits the number of calls in flight", async () => {
        const claims = [1, 2, 3].map(() => connections.claim(proxy.getAddress(), create(ClaimRequestSchema, {})));
        finishClaim();
        const results = await Promise.all(claims);
        const kinds = results.map(result => result.err ? result.val.kind : "ok");
        assert.deepEqual(kinds, ["ok", "ok", PeerErrorKind.TooManyCalls]);
    });

    it("distinguishes an unreachable peer, a failed handler and closed connections", async () => {
        const spare = await PeerServer.create({ address: "127.0.0.1:0", secret, log, handlers: {} as never });
        const address = spare.getAddress();
        await spare.close();
        assert.equal(await getKind(connections, address), PeerErrorKind.Unreachable);
        const failed = await connections.gossip(server.getAddress(), {} as never);
        assert.equal(failed.err && failed.val.kind, PeerErrorKind.Failed);
        connections.close();
        assert.equal(await getKind(connections, server.getAddress()), PeerErrorKind.Closed);
    });

    it("completes calls in flight when the server closes", async () => {
        const address = server.getAddress();
        const claim = connections.claim(address, create(ClaimRequestSchema, {}));
        assert.equal(await getKind(connections, address), undefined);
        const closed = server.close();
        finishClaim();
        const result = await claim;
        assert.ok(result.ok);
        await closed;
        assert.equal(await getKind(connections, address), PeerErrorKind.Unreachable);
        server = await PeerServer.create({ address: "127.0.0.1:0", secret, log, handlers: {} as never });
    });
});
