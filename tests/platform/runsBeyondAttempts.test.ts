// Guards against requests that run on more endpoints than their route allows while endpoints fall silent and go on.
// A node took an endpoint that wasn't listed any more, that was draining or that it had not heard for 1.5 s for one that has ended, and
// didn't count its run. The log of such a request (FL1711) says that the first stage does not answer, more often than the route allows.
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { SeededRandom } from "../../scripts/soak/seededRandom.ts";
import type { EndpointStandin } from "../../standins/router/endpointStandin.ts";
import { waitUntil } from "../support/waitUntil.ts";
import { type CallerAnswer, RouterTestHarness, type StartedNode } from "./routerTestHarness.ts";

const seed = 64;
const playMilliseconds = 8_000;
const requestIntervalMilliseconds = 10;
const faultIntervalMilliseconds = { from: 150, to: 250 };
/** An endpoint stays awake for at least this long between two faults. */
const awakeMilliseconds = 1_000;
const modelIds = ["m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8"];
const documentIds = ["d1", "d2", "d3", "d4", "d5"];
const layers = { from: 0, to: 8 };
const stream = { events: 40, eventMilliseconds: 15 };
const longStream = { events: 60, eventMilliseconds: 15 };
/** A stream that has run for this long isn't suspected of the crash of its endpoint. */
const harmlessMilliseconds = 300;
const paths = ["/model/x", "/model/x", "/safe/x", "/model/x", "/once/x", "/unsafe/x"];
/** Attempts that the routes of the harness allow. */
const maximumAttempts = 2;

/** A fault of an endpoint that goes on running all the while. Returns for how long it lasts, in milliseconds. */
type StartFault = (id: string, endpoint: EndpointStandin, random: SeededRandom) => number;

describe("Endpoints that fall silent and go on", () => {
    let harness: RouterTestHarness;
    let nodes: StartedNode[];
    /** Changes of records that are still to come. */
    const registering: Promise<void>[] = [];

    before(async () => {
        harness = await RouterTestHarness.create();
        for (const id of modelIds) {
            await harness.addEndpoint(id, "model", layers, stream);
        }
        for (const id of documentIds) {
            await harness.addEndpoint(id, "documents");
        }
        harness.putWholePlacement();
        nodes = [await harness.addNode(), await harness.addNode()];
        for (const node of nodes) {
            await harness.waitForEndpoints(node, harness.endpoints.size);
        }
    });

    after(() => harness.close());

    function register(id: string, state?: string): void {
        const isModel = modelIds.includes(id);
        harness.register(id, isModel ? "model" : "documents", isModel ? layers : undefined, state);
    }

    function registerAfter(milliseconds: number, id: string): void {
        registering.push(wait(milliseconds).then(() => register(id)));
    }

    /** Sends requests of all kinds to all nodes at a steady rate, and waits for their answers. */
    async function sendRequests(): Promise<CallerAnswer[]> {
        const sending: Promise<CallerAnswer>[] = [];
        const endsAt = performance.now() + playMilliseconds;
        for (let count = 0; performance.now() < endsAt; count++) {
            const node = nodes[Math.floor(count / paths.length) % nodes.length]!;
            sending.push(harness.send(node, paths[count % paths.length]!));
            await wait(requestIntervalMilliseconds);
        }
        return Promise.all(sending);
    }

    /** Starts faults of endpoints that are free of them, one after the other, until the returned function is called. */
    function startFaults(startFault: StartFault): () => void {
        const random = SeededRandom.create(seed);
        const freeAt = new Map<string, number>();
        let timer: NodeJS.Timeout;
        const startNext = () => {
            const now = performance.now();
            const free = [...harness.endpoints].filter(([id]) => now >= (freeAt.get(id) ?? -Infinity));
            const chosen = random.choose(free);
            if (chosen !== undefined) {
                const [id, endpoint] = chosen;
                freeAt.set(id, now + startFault(id, endpoint, random) + awakeMilliseconds);
            }
            const { from, to } = faultIntervalMilliseconds;
            timer = setTimeout(startNext, random.chooseInteger(from, to));
        };
        startNext();
        return () => clearTimeout(timer);
    }

    /** Lists the requests that ran on more endpoints than their routes allow, with these endpoints. */
    function listExceeding(): string[] {
        const endpointsByRequest = new Map<string, Set<string>>();
        for (const [endpointId, { runs }] of harness.endpoints) {
            for (const { id } of runs) {
                endpointsByRequest.set(id, (endpointsByRequest.get(id) ?? new Set()).add(endpointId));
            }
        }
        for (const endpoint of harness.endpoints.values()) {
            endpoint.runs.length = 0;
        }
        return [...endpointsByRequest].filter(([, ids]) => ids.size > maximumAttempts)
            .map(([id, ids]) => `${id} on ${[...ids].join(", ")}`);
    }

    /** Plays a fault beside requests. Returns the requests that ran on too many endpoints. */
    async function play(startFault: StartFault): Promise<string[]> {
        const stopFaults = startFaults(startFault);
        const answers = await sendRequests();
        stopFaults();
        await Promise.all(registering);
        const served = answers.filter(({ status, isComplete }) => status === 200 && isComplete).length;
        assert.ok(served > answers.length / 2, `Only ${served} of ${answers.length} requests were served.`);
        return listExceeding();
    }

    const fallSilent = (endpoint: EndpointStandin, random: SeededRandom, from: number, to: number): number => {
        const milliseconds = random.chooseInteger(from, to);
        endpoint.fallSilent(milliseconds);
        return milliseconds;
    };

    const longSilence: StartFault = (_id, endpoint, random) => fallSilent(endpoint, random, 1_600, 2_600);

    const lapsedRecord: StartFault = (id, endpoint, random) => {
        const milliseconds = fallSilent(endpoint, random, 800, 1_800) + 1_500;
        harness.store.remove(`servers/${id}`);
        registerAfter(milliseconds, id);
        return milliseconds;
    };

    const drainingRecord: StartFault = (id, endpoint, random) => {
        const milliseconds = fallSilent(endpoint, random, 800, 1_800);
        register(id, "draining");
        registerAfter(1_200, id);
        return Math.max(milliseconds, 1_200);
    };

    it("run no request beyond its attempts, whatever their records say meanwhile", async () => {
        const exceeding = {
            longSilence: await play(longSilence),
            lapsedRecord: await play(lapsedRecord),
            drainingRecord: await play(drainingRecord),
        };
        assert.deepEqual(exceeding, { longSilence: [], lapsedRecord: [], drainingRecord: [] });
    });
});

describe("Endpoints that crash one after the other", () => {
    let harness: RouterTestHarness;
    let node: StartedNode;

    before(async () => {
        harness = await RouterTestHarness.create();
        for (const id of ["m1", "m2", "m3"]) {
            await harness.addEndpoint(id, "model", layers, longStream);
        }
        harness.putWholePlacement();
        node = await harness.addNode();
        await harness.waitForEndpoints(node, harness.endpoints.size);
    });

    after(() => harness.close());

    it("don't use up the attempts of a stream", async () => {
        const endpoints = [...harness.endpoints.values()];
        const answering = harness.send(node, "/model/x");
        for (let crashes = 1; crashes <= maximumAttempts; crashes++) {
            await waitUntil(
                "the stream runs",
                () => endpoints.filter(({ runs }) => runs.length > 0).length === crashes,
            );
            await wait(harmlessMilliseconds);
            await endpoints.find(({ runs, isStopped }) => runs.length > 0 && !isStopped)!.close();
        }
        const { status, isComplete, body } = await answering;
        assert.equal(status, 200);
        assert.ok(isComplete, `The answer was cut: ${body}`);
    });
});
