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
    const refusals: unknown[][] = [];
    const create = (changes: Partial<RelayTask>, isRetry = false) => {
        const task = { ...bench.createTask("stream"), ...changes };
        const chains = RelayChains.create(environment, task, relayModel, { getOnlyAllowedIds: () => undefined });
        const avoided = new Set<string>();
        const callbacks = {
            start: () => undefined,
            refuse: (...refusal: unknown[]) => refusals.push(refusal),
        };
        return createQueuedRelay({ environment, task, chains, avoided, isRetry, ...callbacks });
    };
    return { bench, create, refusals };
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

    // Guards against a refusal for the reserve that is reported as a lack of capacity, and against the reverse for the first rank.
    it("names the reserve as the bound of a refusal where the rank leaves memory free for higher ones", () => {
        const { bench, create, refusals } = createBench();
        const { rankReserve } = bench.environment.queue;
        const ranked = { requestId: "r", service: "model", ranks: [0, 1], tokens: 20_000, isNew: true };
        const getTokens = () => 100_000;
        const memory = { getMemoryTokens: getTokens, getTimelyTokens: getTokens };
        const state = { holdMilliseconds: 1_000, nodeCount: 1, now: 0, ...memory };
        rankReserve.noteArrival({ ...ranked, rank: 0 }, state);
        // The rank's minimum has been used up, so that its requests can't ignore the reserve.
        rankReserve.noteStart({ ...ranked, rank: 1 }, 0);
        assert.ok(rankReserve.getFraction({ ...ranked, rank: 1 }, state) > 0);
        for (const rank of [0, 1]) {
            create({ rank, ranks: [0, 1] }).refuse("cause", 500, "capacity");
        }
        create({ rank: 1, ranks: [0, 1] }).refuse("cause", 500, "link");
        assert.deepEqual(refusals, [["cause", 500, "capacity"], ["cause", 500, "reserve"], ["cause", 500, "link"]]);
        // Guards against a status that names another bound than the log.
        assert.deepEqual(bench.environment.queue.refusals.list(0).map(({ rank, bound }) => [rank, bound]), [
            [0, "capacity"],
            [1, "reserve"],
            [1, "link"],
        ]);
    });
});
