import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RelayChains } from "../../../../src/request/relay/chains/relayChains.ts";
import { createQueuedRelay } from "../../../../src/request/relay/queue/createQueuedRelay.ts";
import { RequestKind } from "../../../../src/version/routing/requestKind.ts";
import { RelayBench } from "../relayBench.ts";
import { createEndpoint, relayModel } from "../relayModel.ts";

const kinds = new Map([...relayModel.kinds].map(([name, kind]) => [name, { ...kind, memoryMegabytes: 200_000 }]));
const model = { ...relayModel, kinds };
const requirements = { avoid: new Set<string>(), mayOvercommit: false };

/** Creates a request whose chains all use the link from one data centre to another. */
function createChains() {
    const bench = RelayBench.create([
        createEndpoint("1", { layers: { start: 0, end: 40 } }),
        createEndpoint("2", { layers: { start: 40, end: 80 }, dataCentre: "b" }),
    ]);
    const task = bench.createTask(RequestKind.Stream, true);
    return {
        bench,
        chains: RelayChains.create(bench.environment, task, model, { getOnlyAllowedIds: () => undefined }),
    };
}

describe("LinkUse", () => {
    // Guards against a link that is filled by repeated sends: 54 of 137 streams were begun two to five times.
    it("begins a stream at most twice over a link, also if the stream is resumed", () => {
        const { chains } = createChains();
        const [, second] = [0, 1].map(() => {
            const reservation = chains.reserve(chains.choose(requirements)!);
            reservation.release();
            return reservation;
        });
        assert.equal(chains.choose(requirements), undefined);
        assert.equal(chains.choose({ ...requirements, mayOvercommit: true }), undefined);
        second!.links.refund();
        assert.ok(chains.choose(requirements));
    });

    it("begins a stream for the second time only after the first one no longer waits at the link", async () => {
        const { bench, chains } = createChains();
        const reservation = chains.reserve(chains.choose(requirements)!);
        await bench.clock.advance(900);
        assert.equal(reservation.links.isQueued(), true);
        assert.equal(chains.choose(requirements), undefined);
        assert.ok(chains.getLinkBlock()!.waitMilliseconds > 0);
        reservation.links.noteEvent(bench.clock.getMonotonicTime());
        assert.equal(reservation.links.isQueued(), false);
        assert.ok(chains.choose({ ...requirements, mayOvercommit: true }));
        reservation.release();
    });

    it("does not tell of a link if a data centre holds every layer", () => {
        const { bench, chains } = createChains();
        const local = createEndpoint("3", { layers: { start: 40, end: 80 } });
        const endpoints = [...bench.environment.directory.getEndpoints("model"), local];
        bench.environment.directory.getEndpoints = () => endpoints;
        bench.environment.links.begin([{ from: "a", to: "b" }], model, 800, 200, -900);
        bench.environment.loads.markFull("3", 0);
        assert.equal(chains.choose(requirements), undefined);
        assert.equal(chains.getLinkBlock(), undefined);
    });

    // Guards against refusals for an idle link, after a stage had stood still: the slow first events counted as a queue at the link.
    it("starts a request over a link with spare bandwidth, after first events were slow", async () => {
        const { bench } = createChains();
        const { environment, clock } = bench;
        const slowMilliseconds = 1_200;
        for (let count = 0; count < 10; count++) {
            environment.firstEvents.record(slowMilliseconds);
            environment.linkDelays.recordFirstEvent(["a", "b"], slowMilliseconds, 0);
        }
        environment.links.begin([{ from: "a", to: "b" }], model, 800, 200, 0).noteEvent(slowMilliseconds);
        await clock.advance(slowMilliseconds + 6_000);
        const arrivedAt = clock.getMonotonicTime();
        const task = bench.createTask(RequestKind.Stream, true);
        const targetLatencyMilliseconds = 300;
        const request = { ...task.request, arrivedAt };
        const route = { ...task.route, targetLatencyMilliseconds };
        const slowTask = { ...task, request, route, dueAt: arrivedAt + 3_000 };
        let outcome = "";
        const relay = createQueuedRelay({
            environment,
            task: slowTask,
            chains: RelayChains.create(environment, slowTask, model, { getOnlyAllowedIds: () => undefined }),
            avoided: new Set(),
            isRetry: false,
            start: () => outcome = "started",
            refuse: cause => outcome = cause,
        });
        environment.queue.submit(relay);
        await clock.advance(targetLatencyMilliseconds);
        assert.equal(outcome, "started");
    });
});
