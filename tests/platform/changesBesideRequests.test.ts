// Guards against a change of the configuration, or of an endpoint's record, that takes the answer from a request which was read before it.
import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { events } from "../../src/process/logging/events.ts";
import { callerKey } from "../../standins/router/callerKey.ts";
import { createConfiguration } from "../../standins/router/createConfiguration.ts";
import { RawCaller } from "../connection/caller/rawCaller.ts";
import { waitUntil } from "../support/waitUntil.ts";
import { listAnswers } from "./listAnswers.ts";
import { RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

type Configuration = Record<string, unknown> & { routes: object[]; services: { name: string; }[]; };

const runMilliseconds = 300;
const stream = { events: 10, eventMilliseconds: 30 };
const largeTokens = "14000,900";
const elsewhere = { name: "elsewhere", max_conns: 50 };
/** A request that has not begun when a change comes may also be refused, or be over in time, as the change says. */
const allowedStatuses: ReadonlySet<string> = new Set(["200", "401", "404", "503", "504"]);

const createHead = (id: string, path: string, framing = "Content-Length: 4", tokens = "10,10") =>
    `POST ${path} HTTP/1.1\r\nHost: one.example\r\nRequest-Id: ${id}\r\nRequest-Deadline-Ms: 5000\r\n`
    + `Token-Counts: ${tokens}\r\nAuthorization: Bearer ${callerKey}\r\n${framing}\r\n\r\n`;
const createWhole = (id: string, path: string, tokens?: string) => `${createHead(id, path, undefined, tokens)}body`;

const mapRoutes = (base: Configuration, changes: object) => base.routes.map(route => ({ ...route, ...changes }));

/** Changes of the configuration, by name. */
const changes: readonly (readonly [string, (base: Configuration) => object])[] = [
    ["routes that are dropped", ({ routes }) => ({ routes: [{ ...routes[0]!, prefix: "/other/" }] })],
    ["routes that move to a service without endpoints", base => ({
        services: [...base.services, elsewhere],
        routes: mapRoutes(base, { service: "elsewhere" }),
    })],
    ["services that are dropped", base => ({
        services: [elsewhere],
        routes: mapRoutes(base, { service: "elsewhere" }),
    })],
    ["routes that are split", base => ({
        services: [...base.services, elsewhere],
        routes: mapRoutes(base, {
            traffic_split: [{ service: "elsewhere", weight: 1 }, { service: "model", weight: 1 }],
        }),
    })],
    ["timeouts below the age of the requests", base => ({ routes: mapRoutes(base, { timeout_ms: 50 }) })],
    ["fewer attempts", base => ({ routes: mapRoutes(base, { max_attempts: 1, kind: "non_idempotent" }) })],
    ["keys that are revoked", () => ({ tenants: [{ name: "first", api_keys: ["another"] }] })],
    ["customers that are dropped", () => ({ tenants: [] })],
    ["limits that fall", () => ({
        limits: { max_header_bytes: 1, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 },
    })],
    ["fewer connections to endpoints", base => ({
        services: base.services.map(service => ({ ...service, max_conns: 1 })),
    })],
];

/** Changes of the endpoints' records, by name. */
const recordChanges: readonly (readonly [string, (harness: RouterTestHarness) => void])[] = [
    ["records that are removed", harness => {
        for (const id of harness.endpoints.keys()) {
            harness.store.remove(`servers/${id}`);
        }
    }],
    ["endpoints that drain", harness => {
        harness.register("m1", "model", { from: 0, to: 8 }, "draining");
        harness.register("d1", "documents", undefined, "draining");
    }],
    ["endpoints that change their service", harness => {
        harness.register("m1", "elsewhere");
        harness.register("d1", "elsewhere");
    }],
];

describe("Requests that were read before a change", () => {
    let harness: RouterTestHarness;
    let node: StartedNode;

    // A node that has served requests expects longer waits, and refuses one in place of letting it wait.
    beforeEach(async () => {
        harness = await RouterTestHarness.create();
        await harness.addEndpoint("d1", "documents");
        await harness.addEndpoint("m1", "model", { from: 0, to: 8 }, stream);
        harness.putWholePlacement();
        for (const endpoint of harness.endpoints.values()) {
            endpoint.behaviour = { delayMilliseconds: runMilliseconds };
        }
        node = await harness.addNode();
        await harness.waitForEndpoints(node, 2);
    });

    afterEach(() => harness.close());

    async function put(change: (base: Configuration) => object): Promise<void> {
        const base = createConfiguration(2) as Configuration;
        harness.store.put("op/config", { ...base, ...change(base) });
        await waitUntil("it is in force", () => node.node.getRouting()?.configuration.version === 2);
    }

    /** Brings requests into each state in which a change may find them, applies the change, and asserts that each is answered. */
    async function assertAnswered(apply: () => Promise<void> | void): Promise<void> {
        const connect = () => RawCaller.connect(node.address);
        const begun = await connect();
        begun.write(createWhole("begun", "/once/x", largeTokens));
        await waitUntil("it has begun", () => begun.getReceived().includes("\r\n\r\n"));
        const running = await connect();
        running.write(createWhole("runs", "/unsafe/x") + createWhole("behind", "/unsafe/x"));
        const silent = await connect();
        silent.write(createWhole("silent", "/model/x"));
        await waitUntil("all run", () => harness.endpoints.get("d1")!.runs.length === 2);
        const waiting = await connect();
        waiting.write(createWhole("waits", "/model/x", largeTokens));
        await waitUntil("it waits", () => node.log.numbers.includes(events.relayQueued.number));
        const measured = await connect();
        measured.write(createHead("measured", "/safe/x") + "bo");
        const chunked = await connect();
        chunked.write(createHead("chunked", "/safe/x", "Transfer-Encoding: chunked") + "2\r\nbo\r\n");
        await wait(50);
        await apply();
        await wait(50);
        measured.write("dy" + createHead("next", "/safe/x", "Content-Length: 0"));
        chunked.write("2\r\ndy\r\n0\r\n\r\n");
        const expected: [RawCaller, string[]][] = [
            [begun, ["begun"]],
            [running, ["runs", "behind"]],
            [silent, ["silent"]],
            [waiting, ["waits"]],
            [measured, ["measured", "next"]],
            [chunked, ["chunked"]],
        ];
        for (const [caller, ids] of expected) {
            await waitUntil(
                `${ids.join(" and ")} are answered`,
                () => listAnswers(caller.getReceived()).length >= ids.length,
            );
            const answers = listAnswers(caller.getReceived());
            assert.deepEqual(answers.map(({ id }) => id), ids);
            for (const { id, status } of answers) {
                const hasRun = id === "begun" || id === "runs" || id === "behind" || id === "silent";
                assert.ok(hasRun ? status === "200" : allowedStatuses.has(status), `${id} was answered ${status}.`);
            }
            caller.socket.destroy();
        }
    }

    for (const [name, change] of changes) {
        it(`are answered beside ${name}`, { timeout: 20_000 }, () => assertAnswered(() => put(change)));
    }

    for (const [name, change] of recordChanges) {
        it(`are answered beside ${name}`, { timeout: 20_000 }, () => assertAnswered(() => change(harness)));
    }
});
