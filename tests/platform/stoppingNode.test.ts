import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { after, before, describe, it } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { events } from "../../src/process/logging/events.ts";
import { stopRouter } from "../../src/process/router/stopRouter.ts";
import { systemClock } from "../../src/process/systemClock.ts";
import { createConfiguration } from "../../standins/router/createConfiguration.ts";
import { waitUntil } from "../support/waitUntil.ts";
import { type CallerAnswer, RouterTestHarness } from "./routerTestHarness.ts";

/** Just longer than a stopping node waits for the load balancer to remove it. */
const shutdownMilliseconds = 3_000;
const refusalStatus = 503;
const outcomeUnknownStatus = 502;
/** Makes a stream last longer than the stop. */
const longSlowness = 200;
const longDeadline = { "request-deadline-ms": "20000" };
/** Uses all memory of the endpoint. */
const largeRequest = { "token-counts": "14000,900", "request-deadline-ms": "20000" };

describe("A node that is stopping", () => {
    let harness: RouterTestHarness;

    before(async () => {
        harness = await RouterTestHarness.create();
        const base = createConfiguration(2);
        const routes = (base["routes"] as { name: string; }[]).map(route => ({
            ...route,
            timeout_ms: 20_000,
            priority: route.name === "once" ? 1 : 0,
        }));
        harness.store.put("op/config", { ...base, routes });
        await harness.addEndpoint("m1", "model", { from: 0, to: 8 });
        harness.putWholePlacement();
    });

    after(() => harness.close());

    // The process ended while the request waited for free memory, so that its connection closed without an answer.
    it("refuses the requests that still wait for free memory when its time is over", async () => {
        const started = await harness.addNode();
        const { node, callers, log } = started;
        await harness.waitForEndpoints(started, 1);
        harness.endpoints.get("m1")!.behaviour = { delayMilliseconds: shutdownMilliseconds * 2 };
        void harness.send(started, "/model/x", { headers: largeRequest }).catch(() => undefined);
        await waitUntil("a request runs", () => harness.endpoints.get("m1")!.runs.length > 0);
        const answers: CallerAnswer[] = [];
        void harness.send(started, "/once/x", { headers: largeRequest }).then(answer => answers.push(answer));
        await waitUntil("a request waits", () => log.numbers.includes(events.relayQueued.number));
        await stopRouter({ node, callers, shutdownMilliseconds, clock: systemClock });
        assert.deepEqual(answers.map(({ status }) => status), [refusalStatus]);
    });

    // A request whose endpoint had sent nothing lost its connection with the end of the process, and no line told of it.
    it("answers the requests that an endpoint still runs when its time is over, and logs the end of each", async () => {
        const started = await harness.addNode();
        const { node, callers, log } = started;
        await harness.waitForEndpoints(started, 1);
        const { runs } = harness.endpoints.get("m1")!;
        const earlier = runs.length;
        harness.endpoints.get("m1")!.behaviour = { delayMilliseconds: shutdownMilliseconds * 2 };
        const answers: CallerAnswer[] = [];
        void harness.send(started, "/once/x").then(answer => answers.push(answer));
        await waitUntil("a request runs", () => runs.length > earlier);
        await stopRouter({ node, callers, shutdownMilliseconds, clock: systemClock });
        assert.deepEqual(answers.map(({ status }) => status), [outcomeUnknownStatus]);
        const end = log.fields[log.numbers.indexOf(events.relayEnded.number)]!;
        assert.ok(Number(end["arrivedAfterStopMilliseconds"]) <= 0);
        const { refused, running, resuming, waiting } = log.fields[
            log.numbers.indexOf(events.requestsEndedAtStop.number)
        ]!;
        assert.deepEqual({ refused, running, resuming, waiting }, { refused: 0, running: 1, resuming: 0, waiting: 0 });
    });

    // A node took long answers until the load balancer had removed it, and cut them with its end, though other nodes had room.
    it("refuses at once a stream that would last longer than it does, and answers a short request", async () => {
        await harness.addEndpoint("d1", "documents");
        const started = await harness.addNode();
        const { node, callers, log } = started;
        await harness.waitForEndpoints(started, 2);
        harness.endpoints.get("m1")!.behaviour = { slowness: longSlowness };
        assert.ok((await harness.send(started, "/model/x", { headers: longDeadline })).isComplete);
        const stopped = stopRouter({ node, callers, shutdownMilliseconds, clock: systemClock });
        const [long, short] = await Promise.all([
            harness.send(started, "/model/x", { headers: longDeadline }),
            harness.send(started, "/unsafe/x"),
        ]);
        assert.deepEqual([long.status, long.headers["retry-after"], short.status], [refusalStatus, "0", 200]);
        assert.ok(log.numbers.includes(events.refusedAtStop.number));
        await stopped;
        assert.ok(!log.numbers.includes(events.requestsEndedAtStop.number));
    });

    // The process ended with a request that it had read after all others were answered, before the refusal was sent.
    it("sends the refusal of a request that arrives while it closes", async () => {
        const { node, callers, address } = await harness.addNode();
        const [host, port] = address.split(":");
        const socket = connect(Number(port), host);
        await once(socket, "connect");
        let received = "";
        socket.on("data", chunk => received += String(chunk));
        const stop = node.stop.bind(node);
        node.stop = async () => {
            node.stop = stop;
            await stop();
            socket.write(
                `POST /model/x HTTP/1.1\r\nHost: one.example\r\nRequest-Id: late\r\nContent-Length: 0\r\n\r\n`,
            );
            while (callers.getOpenCount() === 0 && received === "") {
                await nextTurn();
            }
        };
        await stopRouter({ node, callers, shutdownMilliseconds: 2 * shutdownMilliseconds, clock: systemClock });
        assert.match(received, /^HTTP\/1\.1 503 [^]*Request-Id: late\r\n/);
        socket.destroy();
    });
});
