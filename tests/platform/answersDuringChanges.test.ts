import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { callerKey } from "../../standins/router/callerKey.ts";
import { createConfiguration } from "../../standins/router/createConfiguration.ts";
import { RawCaller } from "../connection/caller/rawCaller.ts";
import { waitUntil } from "../support/waitUntil.ts";
import { listAnswers } from "./listAnswers.ts";
import { RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

const idleMilliseconds = 600;
const shortIdleMilliseconds = 300;
/** Callers use connections again that have been idle for this share of the limit. */
const idleShare = 0.8;
const changeMilliseconds = 40;
const rounds = 6;
const callersPerStyle = 4;
/** Each number of versions, one drops the first route. */
const versionsPerDrop = 5;
/** 404: the version that was in force had dropped the route. */
const answeredStatuses: ReadonlySet<string> = new Set(["200", "404", "429", "503"]);

/** Sends requests with these ids on one connection. */
type Send = (caller: RawCaller, ids: readonly [string, string], path: string) => Promise<void>;

const createHead = (id: string, path: string, framing: string) =>
    `POST ${path} HTTP/1.1\r\nHost: one.example\r\nRequest-Id: ${id}\r\nRequest-Deadline-Ms: 5000\r\n`
    + `Authorization: Bearer ${callerKey}\r\n${framing}\r\n\r\n`;
const createWhole = (id: string, path: string) => `${createHead(id, path, "Content-Length: 4")}body`;

const styles: readonly Send[] = [
    // Each in parts, with a length.
    async (caller, ids, path) => {
        for (const id of ids) {
            const text = createWhole(id, path);
            for (const part of [text.slice(0, 30), text.slice(30, -2), text.slice(-2)]) {
                caller.write(part);
                await wait(changeMilliseconds);
            }
        }
    },
    // Each in chunks.
    async (caller, ids, path) => {
        for (const id of ids) {
            for (const part of [createHead(id, path, "Transfer-Encoding: chunked"), "4\r\nbo", "dy\r\n", "0\r\n\r\n"]) {
                caller.write(part);
                await wait(changeMilliseconds);
            }
        }
    },
    // Both at once, the second one half sent.
    async (caller, [first, second], path) => {
        const text = createWhole(second, path);
        caller.write(createWhole(first, path) + text.slice(0, -2));
        await wait(2 * changeMilliseconds);
        caller.write(text.slice(-2));
    },
    // Both before it reads.
    async (caller, ids, path) => {
        caller.socket.pause();
        for (const id of ids) {
            caller.write(createWhole(id, path));
            await wait(2 * changeMilliseconds);
        }
        caller.socket.resume();
    },
    // The second one after an idle time.
    async (caller, [first, second], path) => {
        caller.write(createWhole(first, path));
        await waitUntil("it is answered", () => listAnswers(caller.getReceived()).at(-1)?.id === first);
        await wait(idleMilliseconds * idleShare);
        caller.write(createWhole(second, path));
    },
];

describe("Requests on kept connections during changes of the configuration", () => {
    let harness: RouterTestHarness;
    let node: StartedNode;
    let version = 1;

    before(async () => {
        harness = await RouterTestHarness.create();
        await harness.addEndpoint("d1", "documents");
        await harness.addEndpoint("d2", "documents");
        await harness.addEndpoint("m1", "model", { from: 0, to: 8 });
        harness.putWholePlacement();
        for (const endpoint of harness.endpoints.values()) {
            endpoint.behaviour = { delayMilliseconds: changeMilliseconds };
        }
        node = await harness.addNode();
        await harness.waitForEndpoints(node, 3);
    });

    after(() => harness.close());

    /** Changes limits, timeouts, keys, routes and the connections that endpoints accept, which lets requests wait. */
    function change(): void {
        version += 1;
        const isOdd = version % 2 === 1;
        const base = createConfiguration(version);
        const routes = (base["routes"] as { name: string; }[]).map(route => ({
            ...route,
            timeout_ms: isOdd ? 3_000 : 4_000,
        }));
        const added = { ...routes[0]!, name: `added-${version}`, prefix: `/added-${version}/` };
        const limits = {
            max_header_bytes: isOdd ? 16_384 : 8_192,
            max_body_bytes: isOdd ? 100_000 : 50_000,
            header_timeout_ms: isOdd ? 3_000 : 2_000,
            idle_timeout_ms: isOdd ? idleMilliseconds : shortIdleMilliseconds,
        };
        const tenants = [{ name: "first", api_keys: [callerKey] }, {
            name: `other-${version}`,
            api_keys: [`key-${version}`],
        }];
        const services = (base["services"] as object[]).map(service => ({ ...service, max_conns: isOdd ? 50 : 1 }));
        const kept = version % versionsPerDrop === 0 ? routes.slice(1) : routes;
        harness.store.put("op/config", { ...base, routes: isOdd ? kept : [...kept, added], services, limits, tenants });
    }

    /** Has callers of all styles send requests on kept connections. Returns their answers by request id. */
    async function sendRounds(prefix: string): Promise<Map<string, string>> {
        const answers = new Map<string, string>();
        const runs = styles.flatMap((send, style) =>
            Array.from({ length: callersPerStyle }, async (_item, index) => {
                const caller = await RawCaller.connect(node.address);
                const path = ["/safe/x", "/unsafe/x", "/model/x", "/once/x"][index]!;
                const ids: string[] = [];
                for (let round = 0; round < rounds; round += 1) {
                    const pair = [
                        `${prefix}-${style}-${index}-${round}-a`,
                        `${prefix}-${style}-${index}-${round}-b`,
                    ] as const;
                    await send(caller, pair, path);
                    ids.push(...pair);
                    await waitUntil("both are answered", () => listAnswers(caller.getReceived()).length >= ids.length);
                }
                const received = listAnswers(caller.getReceived());
                assert.equal(received.length, ids.length);
                for (const [position, { id, status }] of received.entries()) {
                    assert.equal(id, ids[position]);
                    answers.set(id, status);
                }
                caller.socket.destroy();
            })
        );
        await Promise.all(runs);
        return answers;
    }

    for (const [way, changes] of [["one after another", 1], ["several at once", 4]] as const) {
        it(`are each answered in turn, with changes ${way}`, { timeout: 60_000 }, async () => {
            let isChanging = true;
            const changing = (async () => {
                while (isChanging) {
                    for (let count = 0; count < changes; count += 1) {
                        change();
                    }
                    await wait(changeMilliseconds);
                }
            })();
            const answers = await sendRounds(way.replaceAll(" ", "-")).finally(() => isChanging = false);
            await changing;
            await waitUntil(
                "the last version is in force",
                () => node.node.getRouting()?.configuration.version === version,
            );
            assert.equal(answers.size, styles.length * callersPerStyle * rounds * 2);
            assert.deepEqual([...answers].filter(([, status]) => !answeredStatuses.has(status)), []);
        });
    }
});
