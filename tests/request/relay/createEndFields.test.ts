import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { events } from "../../../src/process/logging/events.ts";
import { DocumentRelay } from "../../../src/request/relay/documents/documentRelay.ts";
import { StreamRelay } from "../../../src/request/relay/streams/streamRelay.ts";
import { RequestKind } from "../../../src/version/routing/requestKind.ts";
import { RelayBench } from "./relayBench.ts";
import { createEndpoint, relayModel } from "./relayModel.ts";

const kinds = new Map([...relayModel.kinds].map(([name, kind]) => [name, { ...kind, memoryMegabytes: 200_000 }]));
const model = { ...relayModel, kinds };
const stages = [
    createEndpoint("1", { layers: { start: 0, end: 40 } }),
    createEndpoint("2", { layers: { start: 40, end: 80 }, dataCentre: "b" }),
];

/** Gets the grouping fields of the last end of a request. */
function getFields({ log }: RelayBench) {
    const { rank, customer, dataCentre, dataCentres } = log.fields[log.numbers.lastIndexOf(events.relayEnded.number)]!;
    return { rank, customer, dataCentre, dataCentres };
}

// Guards against tables of `npm run account` that leave out a kind of request or those that failed.
describe("createEndFields", () => {
    it("names rank, customer and data centres of a document request that no endpoint answered in time", async () => {
        const bench = RelayBench.create([createEndpoint("1", { dataCentre: "b" })]);
        const task = { ...bench.createTask(RequestKind.Idempotent), customer: "c", rank: 2 };
        DocumentRelay.start(bench.environment, task, () => undefined);
        await bench.clock.advance(1_100);
        assert.deepEqual(getFields(bench), { rank: 2, customer: "c", dataCentre: "a", dataCentres: "b" });
    });

    it("names the data centres of a stream's chain in order, also after its last attempt has failed", async () => {
        for (const isFailed of [false, true]) {
            const bench = RelayBench.create(stages);
            const task = bench.createTask(RequestKind.Stream);
            const relay = StreamRelay.create(bench.environment, task, model, () => undefined);
            relay.start();
            if (isFailed) {
                relay.moves.abandonChain(["1"], "the first stage does not answer.");
            }
            await bench.clock.advance(1_100);
            assert.deepEqual(getFields(bench), { rank: 1, customer: "", dataCentre: "a", dataCentres: "a,b" });
        }
    });

    it("names the configuration in force and the lag of the node if an endpoint may have run the request in vain", async () => {
        const conditions = { configurationVersion: 7, configurationAgeMilliseconds: 40, lagMilliseconds: 900 };
        for (const sentAt of [undefined, 0]) {
            const bench = RelayBench.create(stages);
            bench.environment.getConditions = () => conditions;
            StreamRelay.create(bench.environment, bench.createTask(RequestKind.Stream), model, () => undefined).start();
            bench.sentRequests[0]!.sentAt = sentAt;
            await bench.clock.advance(1_100);
            const fields = bench.log.fields[bench.log.numbers.lastIndexOf(events.relayEnded.number)]!;
            const logged = Object.keys(conditions).map(name => fields[name]);
            assert.deepEqual(logged, sentAt === undefined ? [undefined, undefined, undefined] : [7, 40, 900]);
        }
    });

    it("names no data centre for a request that was sent to no endpoint", async () => {
        const bench = RelayBench.create([]);
        DocumentRelay.start(bench.environment, bench.createTask(RequestKind.Idempotent), () => undefined);
        await bench.clock.advance(1_100);
        assert.equal(getFields(bench).dataCentres, "");
    });
});
