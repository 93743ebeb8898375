import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { LayerOrderTracker } from "../../../src/process/placement/layerOrderTracker.ts";
import type { EndpointReport } from "../../../src/request/relay/endpoints/endpointReport.ts";
import type { OrderOutcome } from "../../../src/request/relay/endpoints/orderOutcome.ts";
import { createEndpoint, relayModel } from "../../request/relay/relayModel.ts";
import { FakeClock } from "../../support/fakeClock.ts";
import { RecordingEventLog } from "../../support/recordingEventLog.ts";

const layers = { start: 24, end: 40 };
const loadMilliseconds = (layers.end - layers.start) / relayModel.layers * relayModel.loadSeconds * 1_000;
const checkMilliseconds = 250;
const endpoint = createEndpoint("x", { kind: "middle" });

describe("LayerOrderTracker", () => {
    let clock: FakeClock;
    let sent: { sequence: number; at: number; }[];
    let report: Partial<EndpointReport> | undefined;
    let tracker: LayerOrderTracker;

    function start(getOutcome: (sequence: number) => OrderOutcome["kind"] | undefined): void {
        tracker = LayerOrderTracker.create({
            clock,
            log: RecordingEventLog.create(),
            sendOrder: async (_endpoint, { expectedSequence }) => {
                sent.push({ sequence: expectedSequence, at: clock.getMonotonicTime() });
                const kind = getOutcome(expectedSequence);
                return kind === undefined ? undefined : { kind, faultyAddress: undefined };
            },
            fetchReport: async () => report as EndpointReport | undefined,
            mayOrder: number => number === 1,
            onResult: () => undefined,
        });
    }

    /** Sends the order at each check for which the endpoint isn't busy. */
    async function check(milliseconds: number, current = endpoint): Promise<void> {
        for (let passed = 0; passed < milliseconds; passed += checkMilliseconds) {
            tracker.removeCompleted("model", [current]);
            tracker.checkOverdue();
            if (!tracker.isBusy(current, clock.getMonotonicTime())) {
                void tracker.send(relayModel, current, layers, 1);
            }
            await clock.advance(checkMilliseconds);
        }
    }

    beforeEach(() => {
        clock = FakeClock.create();
        sent = [];
        report = { orderSequence: 0, isBusyWithOrder: false, layers: undefined };
    });

    // The order was sent again with the right sequence number only up to 10 s later.
    it("sends a mismatched order again at once with the sequence number from the report", async () => {
        report = { orderSequence: 3, isBusyWithOrder: false, layers: undefined };
        start(sequence => sequence === 3 ? "begun" : "misfit");
        await check(checkMilliseconds);
        assert.deepEqual(sent, [{ sequence: 0, at: 0 }, { sequence: 3, at: 0 }]);
        assert.equal(tracker.countActiveLoads("model", clock.getMonotonicTime()), 1);
    });

    it("sends no mismatched order again under a fencing number that is no longer valid", async () => {
        report = { orderSequence: 3, isBusyWithOrder: false, layers: undefined };
        start(() => "misfit");
        await tracker.send(relayModel, endpoint, layers, 2);
        assert.equal(sent.length, 1);
    });

    // An endpoint that refused every order was sent one at each check, four times a second.
    it("sends refused orders again with growing delays", async () => {
        start(() => "refused");
        await check(10_000);
        assert.deepEqual(sent.map(({ at }) => at), [0, 500, 1_500, 3_500, 7_500]);
    });

    it("waits for the load of an endpoint that is busy with another order, or until its record shows the end", async () => {
        report = { orderSequence: 1, isBusyWithOrder: true, layers: undefined };
        start(() => "misfit");
        await check(loadMilliseconds / 2);
        assert.equal(tracker.countActiveLoads("model", clock.getMonotonicTime()), 1);
        await check(loadMilliseconds / 2);
        assert.equal(sent.length, 1);
        report = { orderSequence: 1, isBusyWithOrder: false, layers: { start: 0, end: 16 } };
        await check(checkMilliseconds, { ...endpoint, layers: { start: 0, end: 16 } });
        assert.equal(sent.length, 2);
    });

    it("takes an order that the endpoint did not answer but carries out as begun", async () => {
        report = { orderSequence: 1, isBusyWithOrder: true, layers: undefined };
        start(() => undefined);
        await check(loadMilliseconds);
        assert.equal(sent.length, 1);
        assert.equal(tracker.countActiveLoads("model", clock.getMonotonicTime()), 1);
    });

    // An endpoint that was lost counted as holding the ordered layers until its record ended, so that no other one was ordered.
    it("drops an order to an endpoint that answers neither the order nor two requests for its report", async () => {
        report = undefined;
        start(() => undefined);
        await check(checkMilliseconds);
        assert.equal(tracker.getOrderedLayers("x"), layers);
        await check(2 * checkMilliseconds);
        tracker.checkOverdue();
        await clock.advance(0);
        assert.equal(tracker.getOrderedLayers("x"), undefined);
        assert.equal(tracker.isBusy(endpoint, clock.getMonotonicTime()), true);
    });

    // With two services, each check of one removed the pending orders of the other, which were then sent again.
    it("keeps the pending orders of other services", async () => {
        start(() => "begun");
        await check(checkMilliseconds);
        tracker.removeCompleted("other", []);
        assert.equal(tracker.getOrderedLayers("x"), layers);
        tracker.removeCompleted("model", []);
        assert.equal(tracker.hasPending(), false);
    });
});
