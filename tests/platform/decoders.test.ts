import fc from "fast-check";
import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { describe, it } from "node:test";
import { decodeConfiguration } from "../../platform/decodeConfiguration.ts";
import { decodeEndpoint } from "../../platform/decodeEndpoint.ts";
import { decodeRequest } from "../../platform/decodeRequest.ts";
import { endpointProtocol } from "../../platform/endpointProtocol.ts";
import { parseBootFile } from "../../platform/parseBootFile.ts";
import { createConfiguration } from "../../standins/router/createConfiguration.ts";

const boot = `
node_name: "edge-1"
zone: "a"
ip: "10.1.0.4"
unknown: [1, 2]
listen: { front: "10.1.0.4:1", ready: "10.1.0.4:2", control: "10.1.0.4:3" }
internal_ports: [7340, 7355]
seeds: ["10.1.0.5:3"]
bounds: { config_apply_ms: 2000, drain_ms: 2000, grace_s: 8, retry_budget_ratio: 0.2, budget_window_s: 10, retry_budget_slack: 202 }
platform: { address: "10.2.0.1:9", form: "kv" }
`;

const record = {
    service: "s",
    address: "1.2.3.4:5",
    zone: "a",
    slots: 6,
    state: "ready",
    sequence: 4,
    kind: "k",
    born: 1_700_000_000_000,
};

describe("The decoders of the platform", () => {
    it("read the settings and ignore unknown fields", () => {
        const settings = parseBootFile(boot).unwrap();
        assert.equal(settings.vm, "edge-1");
        assert.equal(settings.peerListener, "10.1.0.4:3");
        assert.equal(settings.adminListener, "10.1.0.4:7340");
        assert.equal(settings.shutdownMilliseconds, 7_600);
    });

    it("derive what may be held for callers from the limits of the machine, with defaults", () => {
        const read = (limits: string) => {
            const { maximumHeldBytes, maximumConnections } = parseBootFile(`${boot}${limits}\n`).unwrap();
            return [maximumHeldBytes, maximumConnections];
        };
        for (
            const limits of [
                "",
                "limits: null",
                "limits: { memory_mb: null }",
                "limits: { memory_mb: 350, max_fds: 4100 }",
            ]
        ) {
            assert.deepEqual(read(limits), [100_000_000, 3_500]);
        }
        assert.deepEqual(read("limits: { memory_mb: 250, max_fds: 400 }"), [50_000_000, 180]);
        assert.deepEqual(read("limits: { memory_mb: 64, max_fds: 100 }"), [6_400_000, 1]);
        assert.deepEqual(read("limits: { memory_mb: 2000, max_fds: 100000 }"), [925_000_000, 3_500]);
    });

    it("name each invalid field of the settings", () => {
        const faults = parseBootFile(boot.replace('"10.1.0.4:1"', '"nowhere"').replace("grace_s: 8", "grace_s: -1"));
        assert.ok(faults.err);
        assert.match(faults.val.join("\n"), /^listen\.front: .*\nbounds\.grace_s: /);
        assert.ok(parseBootFile("a: [").err);
    });

    it("read a configuration", () => {
        const configuration = decodeConfiguration(JSON.stringify(createConfiguration(7))).unwrap();
        assert.equal(configuration.version, 7);
        assert.equal(configuration.routes.length, 4);
        assert.equal(configuration.services.get("model")?.engine?.prefillTokensPerMillisecond, 100);
        assert.equal(configuration.services.get("documents")?.engine, undefined);
    });

    it("read an endpoint's record, with or without layers", () => {
        const endpoint = decodeEndpoint("servers/i-1", JSON.stringify(record)).unwrap();
        assert.equal(endpoint.registeredId, "i-1");
        assert.equal(endpoint.incarnation, 1_700_000_000_000);
        const withLayers = decodeEndpoint(
            "servers/i-1",
            JSON.stringify({ ...record, layers: { from: 2, to: 9, version: 1 } }),
        );
        assert.deepEqual(withLayers.unwrap().layers, { start: 2, end: 9 });
        assert.ok(decodeEndpoint("servers/i-1", JSON.stringify({ ...record, state: "draining" })).unwrap().isDraining);
    });

    it("distinguish restarts of an endpoint under the same id", () => {
        const decode = (born: number) => decodeEndpoint("servers/i-1", JSON.stringify({ ...record, born })).unwrap().id;
        assert.notEqual(decode(1), decode(2));
        assert.equal(decode(2), decode(2));
    });

    it("reject a record of another program if any field is missing or of the wrong type", () => {
        assert.equal(decodeEndpoint("servers/i-1", JSON.stringify({ ...record, born: undefined })).unwrap().id, "i-1");
        const invalidValue = fc.oneof(
            fc.constant(null),
            fc.constant({}),
            fc.constant([]),
            fc.constant(-1.5),
            fc.boolean(),
        );
        const requiredField = fc.constantFrom("service", "address", "zone", "slots", "state", "born");
        fc.assert(fc.property(requiredField, invalidValue, (field, value) => {
            assert.ok(decodeEndpoint("servers/i-1", JSON.stringify({ ...record, [field]: value })).err, field);
        }));
        for (
            const changes of [{ state: "resting" }, { address: "nowhere" }, { born: 1.5 }, {
                layers: { from: 9, to: 2 },
            }]
        ) {
            assert.ok(decodeEndpoint("servers/i-1", JSON.stringify({ ...record, ...changes })).err);
        }
    });

    it("read a record whose address has the form that other programs may write", () => {
        for (const address of ["10.1.64.9:8080", "127.0.0.1:1", "[fd00::7]:65535"]) {
            const endpoint = decodeEndpoint("servers/i-1", JSON.stringify({ ...record, address }));
            assert.equal(endpoint.unwrap().address, address);
        }
    });

    it("name the addresses of the settings that no socket can use", () => {
        for (const address of ["999.1.1.1:1", "10.1.0.4:99999", "10.1.0:1"]) {
            const faults = parseBootFile(boot.replace('"10.2.0.1:9"', `"${address}"`));
            assert.deepEqual(faults.err && faults.val, ["platform.address: Must be IP:PORT."]);
        }
    });

    // Such a name can't be sent to an endpoint: each attempt failed, and the endpoint was blamed.
    it("reject a configuration in which a customer's name has a control character", () => {
        const configuration = { ...createConfiguration(7), tenants: [{ name: "a\nb", api_keys: ["k"] }] };
        assert.ok(decodeConfiguration(JSON.stringify(configuration)).err);
    });

    it("send a customer's name as UTF-8", () => {
        const endpoint = decodeEndpoint("servers/i-1", JSON.stringify(record)).unwrap();
        const message = { url: "/x", method: "GET", headers: { host: "h", "request-id": "r" }, rawHeaders: [] };
        const request = decodeRequest(message as unknown as IncomingMessage, Buffer.alloc(0), 0)!;
        const context = { endpoint, customer: "ko\u0142o", remainingMilliseconds: 5, lastEventId: 0 };
        const { headers } = endpointProtocol.createRequest(request, context);
        const sent = headers[headers.indexOf("Tenant") + 1]!;
        assert.equal(Buffer.from(sent, "latin1").toString("utf8"), "ko\u0142o");
    });

    it("return a result for any input and never throw", () => {
        const anyText = fc.oneof(fc.string(), fc.json());
        fc.assert(fc.property(anyText, text => {
            decodeConfiguration(text);
            decodeEndpoint("servers/x", text);
            parseBootFile(text);
            endpointProtocol.readReport(Buffer.from(text));
            endpointProtocol.readOrderOutcome(409, Buffer.from(text));
        }));
    });

    it("treat a request as not executed only if the response says so", () => {
        const doTest = (status: number, headers: Record<string, string>, isNotRun: boolean) =>
            assert.equal(endpointProtocol.readHead(status, { "request-id": "r", ...headers }, "r").isNotRun, isNotRun);
        doTest(503, { "not-executed": "1" }, true);
        doTest(421, {}, true);
        doTest(503, {}, false);
        doTest(500, {}, false);
        doTest(200, { "response-seal": "s" }, false);
    });

    it("read the rate limit of an endpoint and ignore invalid values", () => {
        const read = (text?: string) =>
            endpointProtocol.readHead(200, text === undefined ? {} : { "server-limit": text }, "r").requestsPerSecond;
        assert.deepEqual(["2", "3.5", "0"].map(read), [2, 3.5, 0]);
        assert.deepEqual([undefined, "", "many", "-1", "Infinity"].map(read), Array(5).fill(undefined));
    });
});

describe("decodeRequest", () => {
    function listParts(text: string | undefined): readonly string[] | undefined {
        const headers = { host: "h", "request-id": "r", ...text === undefined ? {} : { "prompt-prefix": text } };
        const message = { url: "/x", method: "POST", headers, rawHeaders: [] as string[] };
        return decodeRequest(message as unknown as IncomingMessage, Buffer.alloc(0), 0)?.promptParts;
    }

    it("lists the parts of a prompt that other requests may share, without the last", () => {
        assert.deepEqual(listParts("5c1e07a2:800, 91bd3f06:410,e4402b7d:250"), ["5c1e07a2", "91bd3f06"]);
        for (const text of ["e4402b7d:250", "", ",", undefined]) {
            assert.deepEqual(listParts(text), []);
        }
    });
});
