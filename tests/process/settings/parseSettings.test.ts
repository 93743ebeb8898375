import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { parseSettings } from "../../../src/process/settings/parseSettings.ts";

const minimal = {
    vm: "entry-1",
    dataCentre: "a",
    callerListener: "127.0.0.1:0",
    peerListener: "127.0.0.1:7400",
    adminListener: "[::1]:9400",
    platform: { storeAddress: "127.0.0.1:2379", vmListAddress: "127.0.0.1:2380" },
    peerSecret: "0123456789abcdef",
};

describe("parseSettings", () => {
    function getFaultPositions(text: string, readText?: (file: string) => string): string[] {
        const result = parseSettings(text, readText);
        assert.ok(result.err);
        return result.val.map(({ line, column, path }) => `${line}:${column} ${path}`);
    }

    it("accepts the commented example", () => {
        const example = new URL("../../../docs/examples/node.settings.jsonc", import.meta.url);
        const settings = parseSettings(readFileSync(example, "utf8")).unwrap();
        assert.equal(settings.vm, "entry-1");
        assert.deepEqual(settings.peers, ["127.0.0.1:7401", "127.0.0.1:7402"]);
    });

    it("fills in the defaults", () => {
        assert.deepEqual(parseSettings(JSON.stringify(minimal)).unwrap(), {
            ...minimal,
            platform: { ...minimal.platform, timeoutMilliseconds: 1000 },
            peers: [],
            tracing: { sampleRatio: 0.01 },
            logging: { level: "info" },
            shutdownMilliseconds: 30_000,
            tls: {},
            limits: {
                maximumConnections: 10_000,
                headerTimeoutMilliseconds: 10_000,
                bodyTimeoutMilliseconds: 30_000,
                maximumHeldBytes: 1_000_000_000,
                maximumRequestsPerConnection: 32,
            },
        });
    });

    it("reports all faults at once with their lines and columns", () => {
        const text = JSON.stringify(
            { ...minimal, vm: "a b", peers: ["127.0.0.1:1", "example:80"], more: 1 },
            undefined,
            1,
        );
        assert.deepEqual(getFaultPositions(text), ["2:8 vm", "14:3 peers[1]", "16:2 more"]);
    });

    it("reports missing settings", () => {
        assert.deepEqual(getFaultPositions(JSON.stringify({ ...minimal, peerSecret: undefined })), ["1:1 peerSecret"]);
    });

    it("reads the files that the settings refer to", () => {
        const text = JSON.stringify({ ...minimal, peerSecret: { file: "secret" } });
        const settings = parseSettings(text, file => `${file} of 16 or more characters\n`).unwrap();
        assert.equal(settings.peerSecret, "secret of 16 or more characters");
    });

    it("reports files that are missing or contain a secret that is too short", () => {
        const text = JSON.stringify({ ...minimal, peerSecret: { file: "secret" } }, undefined, 1);
        const missing = () => {
            throw new Error("no such file");
        };
        assert.deepEqual(getFaultPositions(text, missing), ["11:16 peerSecret"]);
        assert.deepEqual(getFaultPositions(text, () => "short\n"), ["11:16 peerSecret"]);
    });

    for (
        const address of ["localhost:80", "127.0.0.1", "127.0.0.256:80", "127.0.0.1:65536", "[127.0.0.1]:1", "::1:80"]
    ) {
        it(`rejects the listener ${address}`, () => {
            assert.deepEqual(getFaultPositions(JSON.stringify({ ...minimal, adminListener: address })).length, 1);
        });
    }
});
