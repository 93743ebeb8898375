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
    let relay: LoopbackProxy;
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
        relay = await LoopbackProxy.create(() => server.getAddress());
        connections = createConnections(secret);
    });

    afterEach(async () => {
        finishClaim();
        connections.close();
        await relay.close();
        await server.close(0);
    });

    function createConnections(ownSecret: string): PeerConnections {
        return PeerConnections.create({ secret: ownSecret, log, timeoutMilliseconds: 300, maximumCallsPerPeer: 2 });
    }

    async function getKind(of: PeerConnections, address: string): Promise<string | undefined> {
        const result = await of.getConfiguration(address, request);
        return result.ok ? undefined : result.val.kind;
    }

    it("shares one connection between calls", async () => {
        assert.equal(await getKind(connections, relay.getAddress()), undefined);
        assert.equal(await getKind(connections, relay.getAddress()), undefined);
        assert.equal(relay.getConnectionCount(), 1);
    });

    it("refuses a wrong secret before the handler", async () => {
        const strangers = createConnections("wrong");
        assert.equal(await getKind(strangers, server.getAddress()), PeerErrorKind.Unauthenticated);
        strangers.close();
        assert.deepEqual(numbers, [1411]);
    });

    it("replaces a connection that has gone silent", async () => {
        assert.equal(await getKind(connections, relay.getAddress()), undefined);
        relay.freeze();
        assert.equal(await getKind(connections, relay.getAddress()), PeerErrorKind.TimedOut);
        assert.equal(await getKind(connections, relay.getAddress()), undefined);
        assert.deepEqual(numbers, [1410]);
    });

    it("does not break the other calls of a connection on which one was late", async () => {
        const claim = connections.claim(relay.getAddress(), create(ClaimRequestSchema, {}), {
            timeoutMilliseconds: 9_000,
        });
        const late = await connections.claim(relay.getAddress(), create(ClaimRequestSchema, {}));
        assert.equal(late.err && late.val.kind, PeerErrorKind.TimedOut);
        finishClaim();
        const result = await claim;
        assert.equal(result.ok && result.val.verdicts[0]?.outcome, "granted");
        await waitUntil("the late connection is closed", () => relay.getConnectionCount() === 0);
    });

    it("connects anew after a cut", async () => {
        assert.equal(await getKind(connections, relay.getAddress()), undefined);
        relay.cut();
        await waitUntil("the connection is gone", () => relay.getConnectionCount() === 0);
        await new Promise(resolve => setImmediate(resolve));
        assert.equal(await getKind(connections, relay.getAddress()), undefined);
    });

    it("bounds the calls under way", async () => {
        const claims = [1, 2, 3].map(() => connections.claim(relay.getAddress(), create(ClaimRequestSchema, {})));
        finishClaim();
        const results = await Promise.all(claims);
        const kinds = results.map(result => result.err ? result.val.kind : "ok");
        assert.deepEqual(kinds, ["ok", "ok", PeerErrorKind.TooManyCalls]);
    });

    it("tells an unreachable peer, a failed handler and closed connections apart", async () => {
        const spare = await PeerServer.create({ address: "127.0.0.1:0", secret, log, handlers: {} as never });
        const address = spare.getAddress();
        await spare.close();
        assert.equal(await getKind(connections, address), PeerErrorKind.Unreachable);
        const failed = await connections.gossip(server.getAddress(), {} as never);
        assert.equal(failed.err && failed.val.kind, PeerErrorKind.Failed);
        connections.close();
        assert.equal(await getKind(connections, server.getAddress()), PeerErrorKind.Closed);
    });

    it("lets calls under way finish when the server closes", async () => {
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
