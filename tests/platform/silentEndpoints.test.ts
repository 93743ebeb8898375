// Guards against ending answers whose endpoint is silent for a second and then continues. A node took the silence for the loss of the
// endpoint: 350 ms after it had asked a silent first stage for its report, it gave up all streams of that stage, also those that could
// not continue over another chain. The log says so for each of them: "the first stage does not answer".
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { SeededRandom } from "../../scripts/soak/seededRandom.ts";
import { callerKey } from "../../standins/router/callerKey.ts";
import { createConfiguration } from "../../standins/router/createConfiguration.ts";
import { type CallerAnswer, RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

const seed = 61;
const playMilliseconds = 12_000;
const requestIntervalMilliseconds = 25;
const silenceIntervalMilliseconds = 700;
const silenceMilliseconds = { from: 800, to: 1_800 };
const changeIntervalMilliseconds = 900;
const paths = ["/once/x", "/model/x", "/safe/x", "/unsafe/x"];
const stream = { events: 20, eventMilliseconds: 15 };
const headers = { "request-deadline-ms": "6000" };
const okStatus = 200;

describe("An endpoint that is silent for a second and then continues", () => {
    let harness: RouterTestHarness;
    let nodes: StartedNode[];
    let version = 1;

    before(async () => {
        harness = await RouterTestHarness.create();
        for (const id of ["m1", "m2", "m3"]) {
            await harness.addEndpoint(id, "model", { from: 0, to: 8 }, stream);
            await harness.addEndpoint(id.replace("m", "d"), "documents");
        }
        const columns = [{ layers: { start: 0, end: 8 }, kind: "big" }];
        harness.store.put("foxlead/placement/model", { service: "model", modelName: "m", layers: 8, columns });
        nodes = [await harness.addNode(), await harness.addNode()];
        for (const node of nodes) {
            await harness.waitForEndpoints(node, harness.endpoints.size);
        }
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
        harness.store.put("op/config", createConfiguration(version, { tenants: [{ name: "first", api_keys: keys }] }));
    }

    /** Adds and withdraws a key that no caller uses, until the returned function is called. */
    function startChanges(): () => void {
        const timer = setInterval(
            () => putKeys(version % 2 === 0 ? [callerKey] : [callerKey, "other"]),
            changeIntervalMilliseconds,
        );
        return () => clearInterval(timer);
    }

    it("costs no accepted request its answer beside changes of the configuration", async () => {
        const stops = [startSilences(), startChanges()];
        const failures = await listFailures();
        for (const stop of stops) {
            stop();
        }
        assert.deepEqual(failures, []);
    });
});
