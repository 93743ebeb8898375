import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { decodeConfiguration } from "../../../platform/decodeConfiguration.ts";
import { LowestRankRefuser } from "../../../src/process/overload/lowestRankRefuser.ts";
import { RoutingState } from "../../../src/version/routing/routingState.ts";
import { createConfiguration } from "../../../standins/router/createConfiguration.ts";

const base = { host: "one.example", timeout_ms: 3_000, target_latency_ms: 300, max_attempts: 2, kind: "streaming" };

/** Lists which of the requests a late node refuses, by path and API key. */
function listRefused(routes: object[], tenants: object[], requests: [path: string, key: string][]): string[] {
    const text = JSON.stringify(createConfiguration(1, { routes, tenants }));
    const state = RoutingState.create(decodeConfiguration(text).unwrap());
    const refuser = LowestRankRefuser.create(() => 0.5);
    const refused: string[] = [];
    for (const [target, apiKey] of requests) {
        if (refuser.decide({ host: "one.example", target, apiKey }, state, 2_000) !== undefined) {
            refused.push(`${target} ${apiKey}`);
        }
    }
    return refused;
}

const createRoute = (name: string, service: string, priority: number) => ({
    ...base,
    name,
    prefix: `/${name}/`,
    service,
    priority,
});

describe("LowestRankRefuser", () => {
    const tenants = [{ name: "first", api_keys: ["k1"] }];
    const requests: [string, string][] = [["/a/x", "k1"], ["/b/x", "k1"], ["/c/x", "k1"], ["/none/x", "k1"]];

    it("refuses only the last rank of a service, so that a burst of it doesn't delay the other ranks", () => {
        const routes = [createRoute("a", "model", 0), createRoute("b", "model", 1), createRoute("c", "model", 2)];
        assert.deepEqual(listRefused(routes, tenants, requests), ["/c/x k1"]);
    });

    it("refuses none where all requests of a service have one rank, though another service has a different one", () => {
        const routes = [createRoute("a", "model", 1), createRoute("b", "model", 1), createRoute("c", "documents", 7)];
        assert.deepEqual(listRefused(routes, tenants, requests), []);
    });

    it("uses the ranks of customers, and leaves unknown keys to the usual refusal", () => {
        const routes = [createRoute("a", "model", 0)];
        const customers = [
            { name: "first", api_keys: ["k1"], priority: 0 },
            { name: "last", api_keys: ["k2"], priority: 3 },
        ];
        const keys: [string, string][] = [["/a/x", "k1"], ["/a/x", "k2"], ["/a/x", "unknown"]];
        assert.deepEqual(listRefused(routes, customers, keys), ["/a/x k2"]);
    });

    it("names the time after which the node serves such requests again, spread over the callers", () => {
        const routes = [createRoute("a", "model", 0), createRoute("b", "model", 1)];
        const text = JSON.stringify(createConfiguration(1, { routes, tenants }));
        const state = RoutingState.create(decodeConfiguration(text).unwrap());
        const getDelay = (random: number) =>
            LowestRankRefuser.create(() => random).decide(
                { host: "one.example", target: "/b/x", apiKey: "k1" },
                state,
                2_000,
            )?.retryAfterMilliseconds;
        assert.equal(getDelay(0), 2_000);
        assert.equal(getDelay(0.99), 2_990);
    });
});
