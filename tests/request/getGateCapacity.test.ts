import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { EndpointState } from "../../src/connection/endpoint/endpointState.ts";
import { getGateCapacity } from "../../src/request/getGateCapacity.ts";
import { parseConfiguration } from "../../src/version/parseConfiguration.ts";

describe("getGateCapacity", () => {
    const engine = (address: string, start: number, end: number) => {
        const layers = [{ model: "m", start, end }];
        return { kind: "engine", address, dataCentre: "a", layers, maximumSequences: 8 };
    };
    const configuration = parseConfiguration(JSON.stringify({
        dataCentres: { a: { region: "south" } },
        models: { m: { layers: 4, hiddenBytes: 8 } },
        endpoints: {
            e1: engine("127.0.0.1:1", 0, 4),
            e2: engine("127.0.0.1:2", 0, 2),
            e3: engine("127.0.0.1:3", 2, 4),
            d1: { kind: "document", address: "127.0.0.1:4", dataCentre: "a", maximumSequences: 5 },
        },
        services: {
            chat: { kind: "model", model: "m" },
            letters: { kind: "model", model: "m" },
            receipts: { kind: "document", endpoints: ["d1"] },
        },
    })).unwrap();

    function doTest(gate: string, gone: readonly string[], expected: number): void {
        const getState = (endpoint: string): EndpointState => {
            const layers = configuration.endpoints[endpoint]?.layers ?? [];
            return { endpoint, layers, state: gone.includes(endpoint) ? "leaving" : "serving" };
        };
        assert.equal(getGateCapacity(configuration, gate, getState), expected);
    }

    it("is the capacity of the layer with the least capacity", () => {
        doTest("/model/m", [], 16);
        doTest("/model/m", ["e3"], 8);
        doTest("/model/m", ["e1", "e3"], 0);
    });

    it("is the sum over the serving endpoints of a document service", () => {
        doTest("receipts", [], 5);
        doTest("receipts", ["d1"], 0);
        doTest("nothing", [], 0);
    });
});
