import { create } from "@bufbuild/protobuf";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { after, before, describe, it } from "node:test";
import { PeerConnections } from "../../../src/connection/peer/peerConnections.ts";
import { PeerServer } from "../../../src/connection/peer/peerServer.ts";
import type { PeerTls } from "../../../src/connection/peer/peerTls.ts";
import { GetConfigurationRequestSchema } from "../../../src/wire/generated/foxlead/peer/v1/peer_pb.ts";

describe("the connections of peers with TLS", () => {
    const secret = "a-secret-of-the-tests";
    const log = { write: () => undefined };
    const node = readTls("node", "authority");
    let server: PeerServer;

    before(async () => {
        server = await PeerServer.create({
            address: "127.0.0.1:0",
            secret,
            log,
            tls: node,
            handlers: {
                gossip: async () => ({}),
                announceConfiguration: async () => ({}),
                getConfiguration: async () => ({ version: 7n }),
                claim: async () => ({}),
                getKeptAnswer: async () => ({}),
                takeKeptAnswers: async () => ({}),
            },
        });
    });

    after(() => server.close(0));

    /** Reads the certificates, which are used only by the tests. */
    function readTls(name: string, authority: string): PeerTls {
        const read = (file: string) => {
            return readFileSync(new URL(`../../support/certificates/${file}`, import.meta.url), "utf8");
        };
        return { certificate: read(`${name}.crt`), key: read(`${name}.key`), authority: read(`${authority}.crt`) };
    }

    async function doTest(tls: PeerTls | undefined, isExpected: boolean): Promise<void> {
        const connections = PeerConnections.create({ secret, log, tls, timeoutMilliseconds: 2_000 });
        const request = create(GetConfigurationRequestSchema, { knownVersion: 1n });
        const result = await connections.getConfiguration(server.getAddress(), request);
        connections.close();
        assert.equal(result.ok, isExpected);
    }

    it("accepts a node whose certificate the authority signed", () => doTest(node, true));

    it("rejects a caller with a certificate of another authority", () =>
        doTest(readTls("stranger", "authority"), false));

    it("rejects a server with a certificate of another authority", () => {
        return doTest(readTls("node", "stranger"), false);
    });

    it("rejects unencrypted connections", () => doTest(undefined, false));
});
