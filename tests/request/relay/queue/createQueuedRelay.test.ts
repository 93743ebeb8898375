import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RelayChains } from "../../../../src/request/relay/chains/relayChains.ts";
import { createQueuedRelay } from "../../../../src/request/relay/queue/createQueuedRelay.ts";
import type { RelayTask } from "../../../../src/request/relay/relayTask.ts";
import { RelayBench } from "../relayBench.ts";
import { createEndpoint, relayModel } from "../relayModel.ts";

const endpoints = [
    createEndpoint("1", { layers: { start: 0, end: 30 } }),
    createEndpoint("2", { layers: { start: 30, end: 55 } }),
    createEndpoint("3", { layers: { start: 55, end: 80 } }),
];

function createBench() {
    const bench = RelayBench.create(endpoints);
    const { environment } = bench;
    const create = (changes: Partial<RelayTask>, isRetry = false) => {
        const task = { ...bench.createTask("stream"), ...changes };
        const chains = RelayChains.create(environment, task, relayModel);
        const avoided = new Set<string>();
        const callbacks = { start: () => undefined, refuse: () => undefined };
        return createQueuedRelay({ environment, task, chains, avoided, isRetry, ...callbacks });
    };
    return { bench, create };
}

describe("createQueuedRelay", () => {
    // Guards against a request of the first rank that is refused because one of a lower rank, which leaves more free, found nothing.
    it("gives ranks with different reserves different capacity classes", () => {
        const { create } = createBench();
        const classes = [0, 1].map(rank => {
            const relay = create({ rank, ranks: [0, 1] });
            relay.tryReserve();
            return relay.getCapacityClass?.();
        });
        assert.deepEqual(classes, ["0 model", "1 model"]);
    });

    // Guards against further attempts that fill endpoints which have just refused the first ones.
    it("holds requests beyond the share of their rank, also further attempts", () => {
        const { bench, create } = createBench();
        const ranks = [0, 1];
        bench.environment.queue.noteEnd(1_000, 1_000_000_000);
        assert.ok(create({ rank: 1, ranks }).tryReserve() !== undefined);
        assert.equal(create({ rank: 1, ranks }).isHeld?.(), true);
        assert.equal(create({ rank: 1, ranks }, true).isHeld?.(), true);
        assert.equal(create({ rank: 1, ranks: [1] }).isHeld?.(), false);
    });

    // Guards against decisions by rank where there is one: what is remembered and reported must be as without ranks.
    it("neither counts demand by rank nor has a class by rank where the service has one rank", () => {
        const { bench, create } = createBench();
        const relay = create({ rank: 1, ranks: [1] });
        assert.ok(relay.tryReserve() !== undefined);
        assert.equal(relay.getCapacityClass?.(), "model");
        assert.deepEqual(bench.environment.queue.rankReserve.demands.listOwn(0), []);
    });
});
