import { create } from "@bufbuild/protobuf";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { events } from "../../../src/process/logging/events.ts";
import { EndpointLosses } from "../../../src/process/router/endpointLosses.ts";
import { NodeTable } from "../../../src/process/router/nodeTable.ts";
import { EndpointHealth } from "../../../src/request/relay/endpoints/endpointHealth.ts";
import { NodeStateSchema } from "../../../src/wire/generated/foxlead/router/v1/router_pb.ts";
import { FakeClock } from "../../support/fakeClock.ts";
import { RecordingEventLog } from "../../support/recordingEventLog.ts";

const endpointIds = ["x", "y", "z"];

function startNode(clock: FakeClock, nodeId: string, peerId: string) {
    const nodes = NodeTable.create(nodeId);
    const heardAt = clock.getMonotonicTime();
    nodes.update({ nodeId: peerId, address: "10.0.0.1:1", dataCentre: "a", isWithoutStore: false, heardAt });
    const log = RecordingEventLog.create();
    const changes: number[] = [];
    const links = { unreachableFraction: 0 };
    const health = EndpointHealth.create(undefined, endpointId => losses.addEvidence(endpointId));
    const losses = EndpointLosses.create({
        clock,
        log,
        nodes,
        getAliveTime: endpointId => health.getLastAliveTime(endpointId),
        getUnreachableFraction: () => links.unreachableFraction,
        onChange: count => changes.push(count),
        onEvidence: () => undefined,
    });
    const createState = () => {
        const records = losses.createRecords(clock.getMonotonicTime());
        return create(NodeStateSchema, { sender: { nodeId }, ...records });
    };
    return { losses, health, log, changes, links, createState };
}

describe("EndpointLosses", () => {
    it("takes an endpoint for lost that two nodes can't connect to, until one event arrives from it", async () => {
        const clock = FakeClock.create();
        const [one, two] = [startNode(clock, "one", "two"), startNode(clock, "two", "one")];
        one.health.markUnavailable("x", clock.getMonotonicTime());
        two.health.markUnavailable("x", clock.getMonotonicTime());
        await clock.advance(100);
        assert.deepEqual(one.changes, []);
        one.losses.applyRecords(two.createState(), clock.getMonotonicTime());
        assert.deepEqual([...one.losses.getLostEndpoints(endpointIds)], ["x"]);
        await clock.advance(200);
        one.health.markAlive("x", clock.getMonotonicTime());
        await clock.advance(100);
        assert.deepEqual([...one.losses.getLostEndpoints(endpointIds)], []);
        assert.deepEqual(one.changes, [1, 0]);
        assert.deepEqual(one.log.numbers, [events.endpointLost.number, events.endpointLossEnded.number]);
    });

    it("takes no refusal for evidence, since the endpoint has answered", () => {
        const clock = FakeClock.create();
        const { health, createState } = startNode(clock, "one", "two");
        health.markRejecting("x", clock.getMonotonicTime());
        assert.deepEqual(createState().endpointLosses, []);
    });

    it("reports no evidence while this node has lost its own links", () => {
        const clock = FakeClock.create();
        const { health, links, createState } = startNode(clock, "one", "two");
        health.markUnavailable("x", clock.getMonotonicTime());
        assert.deepEqual(createState().endpointLosses.map(({ endpointId }) => endpointId), ["x"]);
        links.unreachableFraction = 0.5;
        assert.deepEqual(createState().endpointLosses, []);
    });
});
