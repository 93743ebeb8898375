import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { EndpointAddress } from "../../../src/connection/endpoint/endpointAddress.ts";
import type { Clock } from "../../../src/process/clock.ts";
import { events } from "../../../src/process/logging/events.ts";
import { EraRevision } from "../../../src/process/replica/eraRevision.ts";
import { EndpointReadings } from "../../../src/process/router/endpointReadings.ts";
import { EndpointRegistry } from "../../../src/process/router/endpointRegistry.ts";
import { createEndpointKey } from "../../../src/request/relay/endpoints/createEndpointKey.ts";
import { Err, Ok } from "../../../src/result.ts";
import { createEndpoint } from "../../request/relay/relayModel.ts";
import { FakeClock } from "../../support/fakeClock.ts";
import { RecordingEventLog } from "../../support/recordingEventLog.ts";

function createFixture(lastStoreFailure = -Infinity, changes: Partial<Clock> = {}) {
    let services: ReadonlyMap<string, unknown> | undefined;
    const nameServices = (...names: string[]) => services = new Map(names.map(name => [name, undefined]));
    const recorded: string[] = [];
    const clock = FakeClock.create();
    const log = RecordingEventLog.create();
    const restarted: string[] = [];
    const registry = EndpointRegistry.create({
        clock: {
            getMonotonicTime: () => clock.getMonotonicTime(),
            getWallTime: () => clock.getWallTime(),
            setTimer: (delayMilliseconds, callback) => clock.setTimer(delayMilliseconds, callback),
            ...changes,
        },
        log,
        readings: EndpointReadings.create(),
        decode: (key, text) => {
            const incarnation = Number(/\d+/.exec(text)?.[0] ?? 1);
            const id = createEndpointKey(key, incarnation);
            const address = `10.0.0.1:${/ at (\d+)/.exec(text)?.[1] ?? key}` as EndpointAddress;
            const service = / of (\w+)/.exec(text)?.[1] ?? "model";
            const isDraining = text === "leaving";
            const changes = { id, incarnation, address, service, isDraining, layers: { start: 0, end: 9 } };
            return text === "broken" ? Err("It is broken.") : Ok(createEndpoint(key, changes));
        },
        getServices: () => services,
        drainMilliseconds: 2_000,
        isLeaving: () => false,
        getLastStoreFailure: () => lastStoreFailure,
        onChange: () => undefined,
        onRecord: ({ registeredId }) => recorded.push(registeredId),
        onRestart: ({ id }) => restarted.push(id),
    });
    const getIds = () => registry.getEndpoints("model").map(({ registeredId }) => registeredId);
    return { clock, registry, getIds, log, restarted, recorded, nameServices };
}

describe("EndpointRegistry", () => {
    it("returns ready endpoints, and none that are draining, removed or invalid", () => {
        const { registry, getIds } = createFixture();
        registry.applyRecord({ key: "1", revision: 1, text: "ready" }, "store");
        registry.applyRecord({ key: "2", revision: 2, text: "leaving" }, "store");
        registry.applyRecord({ key: "3", revision: 3, text: "broken" }, "store");
        assert.deepEqual(getIds(), ["1"]);
        assert.equal(registry.getEndpointAt("10.0.0.1:2")?.registeredId, "2");
        registry.applyRecord({ key: "1", revision: 4, text: undefined }, "store");
        assert.deepEqual(getIds(), []);
    });

    // Guards against records of another writer, of services that no configuration names, that take sound endpoints out of use.
    it("doesn't take a record of a service without configuration for the proof that another endpoint has started", () => {
        const { registry, getIds, recorded, nameServices } = createFixture();
        nameServices("model");
        registry.applyRecord({ key: "1", revision: 1, text: "ready 5 at 1" }, "store");
        registry.applyRecord({ key: "2", revision: 2, text: "ready 9 at 1 of other" }, "store");
        assert.deepEqual(getIds(), ["1"]);
        assert.equal(registry.getEndpointAt("10.0.0.1:1")?.registeredId, "1");
        assert.deepEqual(recorded, ["1"]);
        registry.handleIncarnation(registry.getAll()[0]!, 9);
        assert.equal(registry.getEndpointAt("10.0.0.1:1")?.incarnation, 9, "Its own report counts.");
        nameServices("model", "other");
        registry.applyRecord({ key: "2", revision: 3, text: "ready 10 at 1 of other" }, "store");
        assert.deepEqual(getIds(), []);
        assert.equal(registry.getEndpointAt("10.0.0.1:1")?.registeredId, "2");
    });

    // Guards against an address that stays that of a record whose service only a later configuration names, or no longer.
    it("judges records by the configuration in force", () => {
        const { registry, getIds, nameServices } = createFixture();
        registry.applyRecord({ key: "1", revision: 1, text: "ready 5 at 1" }, "store");
        registry.applyRecord({ key: "2", revision: 2, text: "ready 9 at 1 of other" }, "store");
        for (const [names, ids] of [[["model"], ["1"]], [["model", "other"], []], [["model"], ["1"]]] as const) {
            nameServices(...names);
            assert.deepEqual(getIds(), ids);
        }
    });

    it("keeps an endpoint for a while if its record disappeared during a store failure", async () => {
        const { clock, registry, getIds } = createFixture(0);
        registry.applyRecord({ key: "1", revision: 1, text: "ready" }, "store");
        await clock.advance(1_000);
        registry.applyRecord({ key: "1", revision: 2, text: undefined }, "store");
        assert.deepEqual(getIds(), ["1"]);
        // The rest of the 2 s is for propagating the change to the slowest node.
        await clock.advance(1_000);
        assert.deepEqual(getIds(), []);
    });

    // Guards against timers that fire a fraction of a millisecond early, as those of Node.js do: the endpoint stayed in use.
    it("returns no endpoint after the wait for its record, even if the timer is early", () => {
        const clock = FakeClock.create();
        const timers: (() => void)[] = [];
        const setTimer = (_delay: number, callback: () => void) => {
            timers.push(callback);
            return { cancel: () => undefined };
        };
        const { registry, getIds } = createFixture(0, { getMonotonicTime: () => clock.getMonotonicTime(), setTimer });
        registry.applyRecord({ key: "1", revision: 1, text: "ready" }, "store");
        registry.applyRecord({ key: "1", revision: 2, text: undefined }, "store");
        clock.freeze(999.5);
        timers.at(-1)!();
        assert.deepEqual(getIds(), []);
    });

    it("keeps such an endpoint if its record returns", async () => {
        const { clock, registry, getIds } = createFixture(0);
        registry.applyRecord({ key: "1", revision: 1, text: "ready" }, "store");
        registry.applyRecord({ key: "1", revision: 2, text: undefined }, "store");
        registry.applyRecord({ key: "1", revision: 3, text: "ready" }, "store");
        await clock.advance(5_000);
        assert.deepEqual(getIds(), ["1"]);
    });

    it("treats a restart under the same id as a new endpoint, and ignores records of an earlier incarnation", () => {
        const { registry, restarted } = createFixture();
        const getId = () => registry.getEndpoints("model")[0]?.id;
        registry.applyRecord({ key: "1", revision: 1, text: "born 5" }, "store");
        registry.applyRecord({ key: "1", revision: 2, text: "born 7" }, "store");
        assert.deepEqual(restarted, ["1@5"]);
        assert.equal(getId(), "1@7");
        registry.applyRecord({ key: "1", revision: 3, text: "born 5" }, "peer");
        assert.equal(getId(), "1@7");
        assert.deepEqual(restarted, ["1@5"]);
    });

    it("assumes no layers at an endpoint that reported a later incarnation, until its record arrives", () => {
        const { registry, restarted } = createFixture();
        const getEndpoint = () => registry.getEndpoints("model")[0]!;
        registry.applyRecord({ key: "1", revision: 1, text: "born 5" }, "store");
        const asked = getEndpoint();
        registry.handleIncarnation(asked, 4);
        assert.equal(getEndpoint(), asked);
        registry.handleIncarnation(asked, 8);
        assert.deepEqual(restarted, ["1@5"]);
        assert.equal(getEndpoint().layers, undefined);
        registry.applyRecord({ key: "1", revision: 2, text: "born 5" }, "store");
        assert.equal(getEndpoint().layers, undefined);
        registry.applyRecord({ key: "1", revision: 3, text: "born 8" }, "store");
        assert.deepEqual(getEndpoint().layers, { start: 0, end: 9 });
    });

    // The report of the new process at the address was taken for a restart of the old one, which then stayed registered for good.
    it("removes a retained endpoint at its deadline though a new endpoint at its address reports another incarnation", async () => {
        const { clock, registry, getIds, restarted } = createFixture(0);
        registry.applyRecord({ key: "1", revision: 1, text: "born 5" }, "store");
        const asked = registry.getEndpoints("model")[0]!;
        registry.applyRecord({ key: "1", revision: 2, text: undefined }, "store");
        registry.handleIncarnation(asked, 8);
        assert.deepEqual(restarted, []);
        registry.applyRecord({ key: "2", revision: 3, text: "born 8 at 1" }, "store");
        registry.handleIncarnation(asked, 8);
        await clock.advance(1_000);
        assert.deepEqual(registry.getAll().map(({ registeredId }) => registeredId), ["2"]);
        assert.deepEqual(getIds(), ["2"]);
        assert.deepEqual(restarted, []);
    });

    it("uses only the latest endpoint at an address while the record of an earlier one has not ended", () => {
        const { registry, getIds, restarted } = createFixture();
        registry.applyRecord({ key: "1", revision: 1, text: "born 5" }, "store");
        const asked = registry.getEndpoints("model")[0]!;
        registry.applyRecord({ key: "2", revision: 2, text: "born 8 at 1" }, "store");
        registry.handleIncarnation(asked, 8);
        assert.deepEqual(restarted, []);
        assert.deepEqual(getIds(), ["2"]);
        registry.applyRecord({ key: "1", revision: 3, text: "born 5" }, "store");
        assert.deepEqual(getIds(), ["2"]);
        assert.equal(registry.getEndpointAt("10.0.0.1:1")?.registeredId, "2");
    });

    it("uses the endpoint whose own record has an incarnation that a report brought for another one before", () => {
        const { registry, getIds } = createFixture();
        registry.applyRecord({ key: "1", revision: 1, text: "born 5" }, "store");
        registry.handleIncarnation(registry.getEndpoints("model")[0]!, 8);
        assert.deepEqual(getIds(), ["1"]);
        registry.applyRecord({ key: "2", revision: 2, text: "born 8 at 1" }, "store");
        assert.deepEqual(getIds(), ["2"]);
    });

    it("logs once why a record is invalid, however often it is written", () => {
        const { registry, log, getIds } = createFixture();
        for (const revision of [1, 2, 3]) {
            registry.applyRecord({ key: "1", revision, text: "broken" }, "store");
        }
        const getCount = () => log.numbers.filter(number => number === events.endpointRecordInvalid.number).length;
        assert.equal(getCount(), 1);
        registry.applyRecord({ key: "1", revision: 4, text: "ready" }, "store");
        assert.deepEqual(getIds(), ["1"]);
        registry.applyRecord({ key: "1", revision: 5, text: "broken" }, "store");
        assert.deepEqual(getIds(), []);
        assert.equal(getCount(), 2);
    });

    describe("of a store that was restored from an older snapshot", () => {
        /** Registers an endpoint, removes it, and applies its record again in the next era. */
        function returnRemoved(text: string) {
            const fixture = createFixture();
            fixture.registry.applyRecord({ key: "1", revision: EraRevision.create(1, 5), text: "ready" }, "store");
            fixture.registry.applyRecord({ key: "1", revision: EraRevision.create(1, 6), text: undefined }, "store");
            fixture.registry.applyRecord({ key: "1", revision: EraRevision.create(2, 5), text }, "store");
            return fixture;
        }

        it("returns no endpoint that is known to be gone, unless its record does not expire", async () => {
            const { clock, getIds } = returnRemoved("ready");
            await clock.advance(5_000);
            assert.deepEqual(getIds(), []);
            await clock.advance(2_000);
            assert.deepEqual(getIds(), ["1"]);
        });

        it("returns such an endpoint as soon as its record is written again", () => {
            const { registry, getIds } = returnRemoved("ready");
            registry.applyRecord({ key: "1", revision: EraRevision.create(2, 9), text: "ready" }, "store");
            assert.deepEqual(getIds(), ["1"]);
        });

        it("returns a later start of such an endpoint at once", () => {
            assert.deepEqual(returnRemoved("ready 2").getIds(), ["1"]);
        });

        it("does not return it if its record expires, also after the next copy", async () => {
            const { clock, registry, getIds } = returnRemoved("ready");
            registry.applyRecord({ key: "1", revision: EraRevision.create(2, 9), text: undefined }, "store");
            await clock.advance(10_000);
            assert.deepEqual(getIds(), []);
            registry.applyRecord({ key: "1", revision: EraRevision.create(3, 5), text: "ready" }, "store");
            assert.deepEqual(getIds(), []);
        });
    });
});
