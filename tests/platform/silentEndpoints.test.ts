// Guards against ending answers whose endpoint is silent for a second and then continues. A node took the silence for the loss of the
// endpoint: 350 ms after it had asked a silent first stage for its report, it gave up all streams of that stage, also those that could
// not continue over another chain. The log says so for each of them: "the first stage does not answer".
import assert from "node:assert/strict";
import { after, afterEach, before, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { SeededRandom } from "../../scripts/soak/seededRandom.ts";
import { callerKey } from "../../standins/router/callerKey.ts";
import { createConfiguration } from "../../standins/router/createConfiguration.ts";
import type { EndpointStandin } from "../../standins/router/endpointStandin.ts";
import { waitUntil } from "../support/waitUntil.ts";
import { type CallerAnswer, RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

const seed = 61;
const playMilliseconds = 12_000;
const requestIntervalMilliseconds = 25;
const silenceIntervalMilliseconds = 700;
const silenceMilliseconds = { from: 800, to: 1_800 };
const changeIntervalMilliseconds = 900;
const paths = ["/once/x", "/model/x", "/safe/x", "/unsafe/x"];
const stream = { events: 20, eventMilliseconds: 15 };
/** Longer than an endpoint that is drawn several times in a row is silent, so that no answer may end for lack of time. */
const timeoutMilliseconds = 6_000;
const headers = { "request-deadline-ms": String(timeoutMilliseconds) };
/** A silence that is over before any caller gives up. */
const longSilenceMilliseconds = 1_500;
/** Time within which a stream continues over another chain if its first stage is silent. */
const moveMilliseconds = 1_000;
const okStatus = 200;

describe("An endpoint that is silent for a second and then continues", () => {
    let harness: RouterTestHarness;
    let nodes: StartedNode[];
    let models: EndpointStandin[];
    let version = 1;

    before(async () => {
        harness = await RouterTestHarness.create();
        models = [];
        for (const id of ["m1", "m2", "m3"]) {
            models.push(await harness.addEndpoint(id, "model", { from: 0, to: 8 }, stream));
            await harness.addEndpoint(id.replace("m", "d"), "documents");
        }
        harness.putWholePlacement();
        putKeys([callerKey]);
        nodes = [await harness.addNode(), await harness.addNode()];
        for (const node of nodes) {
            await harness.waitForEndpoints(node, harness.endpoints.size);
        }
    });

    afterEach(async () => {
        for (const endpoint of harness.endpoints.values()) {
            endpoint.behaviour = {};
            endpoint.runs.length = 0;
        }
        // Suspicions of earlier tests end.
        await wait(1_000);
    });

    after(() => harness.close());

    const describeFailure = ({ status, isComplete }: CallerAnswer) => isComplete ? `${status}` : `${status}, cut`;

    /** Sends requests of all kinds to all nodes at a steady rate. Returns how those without a complete answer ended. */
    async function listFailures(): Promise<string[]> {
        const sending: Promise<CallerAnswer>[] = [];
        const endsAt = performance.now() + playMilliseconds;
        for (let count = 0; performance.now() < endsAt; count++) {
            const node = nodes[Math.floor(count / paths.length) % nodes.length]!;
            sending.push(harness.send(node, paths[count % paths.length]!, { headers }));
            await wait(requestIntervalMilliseconds);
        }
        const answers = await Promise.all(sending);
        // A refusal that says that the request has not run ends nothing that was accepted.
        return answers.filter(({ status, isComplete }) => !isComplete || status !== okStatus && status !== 503)
            .map(describeFailure);
    }

    /** Makes endpoints silent, one after the other, until the returned function is called. */
    function startSilences(): () => void {
        const random = SeededRandom.create(seed);
        const endpoints = [...harness.endpoints.values()];
        const timer = setInterval(() => {
            const { from, to } = silenceMilliseconds;
            random.choose(endpoints)!.fallSilent(random.chooseInteger(from, to));
        }, silenceIntervalMilliseconds);
        return () => clearInterval(timer);
    }

    function putKeys(keys: string[]): void {
        version += 1;
        const routes = (createConfiguration(version)["routes"] as object[])
            .map(route => ({ ...route, timeout_ms: timeoutMilliseconds }));
        const tenants = [{ name: "first", api_keys: keys }];
        harness.store.put("op/config", createConfiguration(version, { routes, tenants }));
    }

    /** Adds and withdraws a key that no caller uses, until the returned function is called. */
    function startChanges(): () => void {
        const timer = setInterval(
            () => putKeys(version % 2 === 0 ? [callerKey] : [callerKey, "other"]),
            changeIntervalMilliseconds,
        );
        return () => clearInterval(timer);
    }

    /** Sends a stream. Returns its answer and the endpoint that has begun to run it, once it has sent an event. */
    async function beginStream(path: string): Promise<{ answering: Promise<CallerAnswer>; first: EndpointStandin; }> {
        const answering = harness.send(nodes[0]!, path, { headers });
        await waitUntil("the stream runs", () => models.some(({ runs }) => runs.length > 0));
        await wait(stream.eventMilliseconds * 3);
        return { answering, first: models.find(({ runs }) => runs.length > 0)! };
    }

    it("costs no accepted request its answer, whatever falls silent in turn", async () => {
        const stopSilences = startSilences();
        const failures = await listFailures();
        stopSilences();
        assert.deepEqual(failures, []);
    });

    it("costs no accepted request its answer beside changes of the configuration", async () => {
        const stops = [startSilences(), startChanges()];
        const failures = await listFailures();
        for (const stop of stops) {
            stop();
        }
        assert.deepEqual(failures, []);
    });

    it("completes a stream that can't continue elsewhere", async () => {
        const { answering, first } = await beginStream("/once/x");
        first.fallSilent(longSilenceMilliseconds);
        const answer = await answering;
        assert.equal(describeFailure(answer), String(okStatus));
    });

    it("completes a stream that can't continue elsewhere and has no event yet", async () => {
        for (const model of models) {
            model.behaviour = { delayMilliseconds: 100 };
        }
        const { answering, first } = await beginStream("/once/x");
        first.fallSilent(longSilenceMilliseconds);
        assert.equal(describeFailure(await answering), String(okStatus));
    });

    it("completes a resumable stream if all other endpoints are silent too", async () => {
        const { answering } = await beginStream("/model/x");
        for (const model of models) {
            model.fallSilent(longSilenceMilliseconds);
        }
        assert.equal(describeFailure(await answering), String(okStatus));
    });

    it("completes a resumable stream that may not be sent to another endpoint any more", async () => {
        const silences = setInterval(() => {
            for (const model of models.filter(({ runs }) => runs.length > 0)) {
                model.fallSilent(longSilenceMilliseconds);
            }
        }, 20);
        setTimeout(() => clearInterval(silences), 1_000);
        assert.equal(describeFailure(await harness.send(nodes[0]!, "/model/x", { headers })), String(okStatus));
    });

    it("gives up its resumable streams to other endpoints at once", async () => {
        const { answering, first } = await beginStream("/model/x");
        const silentAt = performance.now();
        first.fallSilent(longSilenceMilliseconds);
        assert.equal(describeFailure(await answering), String(okStatus));
        const milliseconds = performance.now() - silentAt;
        assert.ok(milliseconds < moveMilliseconds, `It took ${Math.round(milliseconds)} ms.`);
    });
});

describe("A later stage that is silent for a second and then continues", () => {
    let harness: RouterTestHarness;
    let node: StartedNode;
    let first: EndpointStandin;

    before(async () => {
        harness = await RouterTestHarness.create();
        first = await harness.addEndpoint("a1", "model", { from: 0, to: 4 });
        const later = await harness.addEndpoint("b1", "model", { from: 4, to: 8 });
        harness.putPlacementInHalves();
        node = await harness.addNode();
        await harness.waitForEndpoints(node, harness.endpoints.size);
        first.stalledAddress = later.getAddress();
    });

    after(() => harness.close());

    for (const path of ["/once/x", "/model/x"]) {
        it(`costs a stream on ${path} nothing if there is no other`, async () => {
            first.behaviour = { stallsAfterEvent: 2, stallMilliseconds: longSilenceMilliseconds };
            const answer = await harness.send(node, path, { headers });
            assert.equal(answer.status, okStatus);
            assert.ok(answer.isComplete, "The answer was cut.");
        });
    }
});
