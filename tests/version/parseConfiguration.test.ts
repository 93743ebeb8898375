import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { parseConfiguration } from "../../src/version/parseConfiguration.ts";

const hash = `sha256:${"a".repeat(64)}`;

const validText = `{
    // Two halves of one model.
    "models": { "assistant": { "layers": 8, "hiddenBytes": 4096 } },
    "dataCentres": { "a": { "region": "r" }, "b": { "region": "r" } },
    "endpoints": {
        "one": { "kind": "engine", "address": "10.0.0.1:80", "dataCentre": "a", "layers": [{ "model": "assistant", "start": 0, "end": 8 }] },
        "two": { "kind": "document", "address": "[::1]:80", "dataCentre": "b" },
    },
    "services": {
        "chat": { "kind": "model", "model": "assistant" },
        "receipts": { "kind": "document", "endpoints": ["two"] },
    },
    "links": [{ "from": "a", "to": "b", "latencyMilliseconds": 1, "megabytesPerSecond": 100 }],
    "customers": { "first": { "keyHashes": ["${hash}"] } },
}`;

describe("parseConfiguration", () => {
    function doTest(search: string, replacement: string, expected: string[]): void {
        assert.ok(validText.includes(search));
        const parsed = parseConfiguration(validText.replace(search, replacement));
        assert.deepEqual(parsed.err ? parsed.val.map(fault => `${fault.line} ${fault.path}`) : [], expected);
    }

    it("fills in the defaults", () => {
        const configuration = parseConfiguration(validText).unwrap();
        assert.deepEqual(configuration.claims, {
            shards: 4,
            windowMilliseconds: 300_000,
            appendIntervalMilliseconds: 20,
        });
        assert.equal(configuration.customers.first?.weight, 1);
        assert.equal(configuration.services.chat?.idempotent, true);
    });

    it("finds nothing under the names of inherited members such as `constructor`", () => {
        const { services } = parseConfiguration(validText).unwrap();
        assert.equal(services["constructor"], undefined);
        assert.equal(services["__proto__"], undefined);
    });

    it("rejects references to undefined names", () => {
        doTest(`"model": "assistant" }`, `"model": "toString" }`, ["10 services.chat.model"]);
        doTest(`["two"]`, `["two", "three"]`, ["11 services.receipts.endpoints[1]"]);
        doTest(`["two"]`, `["one"]`, ["11 services.receipts.endpoints[0]"]);
        doTest(`"dataCentre": "b"`, `"dataCentre": "c"`, ["7 endpoints.two.dataCentre"]);
        doTest(`"to": "b"`, `"to": "c"`, ["13 links[0].to"]);
        doTest(`"to": "b"`, `"to": "a"`, ["13 links[0]"]);
        doTest(`"model": "assistant", "start"`, `"model": "x", "start"`, ["6 endpoints.one.layers[0].model"]);
    });

    it("rejects layers outside the model", () => {
        doTest(`"end": 8`, `"end": 9`, ["6 endpoints.one.layers[0].end"]);
        doTest(`"start": 0`, `"start": 8`, ["6 endpoints.one.layers[0]"]);
    });

    it("rejects invalid key hashes and addresses", () => {
        doTest(`["${hash}"]`, `["${hash}", "${hash}"]`, ["14 customers.first.keyHashes[1]"]);
        doTest(hash, hash.toUpperCase(), ["14 customers.first.keyHashes[0]"]);
        for (const address of ["localhost:80", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "::1:80", "10.0.0:80"]) {
            doTest("10.0.0.1:80", address, ["6 endpoints.one.address"]);
        }
    });

    it("reports schema errors and reference errors together", () => {
        doTest(`"hiddenBytes": 4096 } }`, `"hidden": 4096 } }, "service": {}`, [
            "3 models.assistant.hiddenBytes",
            "3 models.assistant.hidden",
            "3 service",
        ]);
        doTest(`"kind": "model", "model": "assistant"`, `"kind": "model", "model": "x", "idempotent": 1`, [
            "10 services.chat.model",
            "10 services.chat.idempotent",
        ]);
    });
});
