import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { EngineConnection } from "../../../src/connection/endpoint/engineConnection.ts";
import { systemClock } from "../../../src/process/systemClock.ts";
import { EngineStandin } from "../../../standins/engine/engineStandin.ts";
import { FakeClock } from "../../support/fakeClock.ts";
import { toEndpointAddress } from "../../support/toEndpointAddress.ts";

const model = "m";
const pass = { request: "r", attempt: 1, model, position: 0, layerStart: 0, layerEnd: 4, priority: 0, text: "a b c" };

describe("EngineConnection", () => {
    let engine: EngineStandin;
    let connection: EngineConnection;
    let silent = 0;

    before(async () => {
        const layers = [{ model, start: 0, end: 4 }];
        engine = EngineStandin.create({ name: "engine", layers, modelLayers: { [model]: 8 } });
        await engine.listen();
        connection = createConnection(engine.getAddress());
    });

    after(async () => {
        await connection.close();
        await engine.close();
    });

    function createConnection(address: string): EngineConnection {
        return EngineConnection.create({
            endpoint: "engine",
            address: toEndpointAddress(address),
            clock: systemClock,
            onInstructions: () => undefined,
            onConnectionRefused: () => undefined,
            isPaused: () => false,
            onAnswered: () => undefined,
            onSilentConnection: () => {
                silent += 1;
            },
        });
    }

    async function countPositions(request: string): Promise<number> {
        const response = await fetch(`http://${engine.getAddress()}/standin/record?request=${request}`);
        const runs = await response.json() as { count: number; }[];
        let positions = 0;
        for (const run of runs) {
            positions += run.count;
        }
        return positions;
    }

    it("returns its own result to each pass of a batch", async () => {
        const requests = ["r1", "r2", "r3"];
        const results = await Promise.all(requests.map(request => connection.runPass({ ...pass, request }, 3)));
        for (const [index, result] of results.entries()) {
            assert.ok(result.ok);
            assert.equal(result.val.request, requests[index]);
            assert.equal(result.val.count, 3);
        }
    });

    it("replaces a connection that stopped responding, and the pass runs only once", async () => {
        await connection.runPass({ ...pass, request: "warm" }, 3);
        engine.setFaults({ freezeExistingConnections: true });
        const result = await connection.runPass({ ...pass, request: "silent" }, 3);
        assert.ok(result.ok);
        assert.ok(silent > 0);
        assert.equal(await countPositions("silent"), 3);
    });

    it("sends a pass again if the connection was reset, and the pass runs only once", async () => {
        engine.setFaults({ resetNextBatches: 1 });
        const result = await connection.runPass({ ...pass, request: "cut" }, 3);
        assert.ok(result.ok);
        assert.equal(await countPositions("cut"), 3);
    });

    it("reports a refusal that guarantees that nothing ran", async () => {
        engine.setFaults({ refuseNext: 1 });
        const result = await connection.runPass({ ...pass, request: "refused" }, 3);
        assert.ok(!result.ok);
        assert.equal(result.val.kind, "refused");
    });

    it("doesn't send a pass again that an engine refused with a time to wait, and no other within it", async () => {
        let requestCount = 0;
        const server = createServer(({ url }, response) => {
            if (url === "/v1/health") {
                response.end();
                return;
            }
            requestCount += 1;
            response.writeHead(503, { "retry-after": "1" }).end();
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        let isPaused = false;
        const paused = EngineConnection.create({
            endpoint: "engine",
            address: toEndpointAddress(`127.0.0.1:${(server.address() as AddressInfo).port}`),
            clock: systemClock,
            onInstructions: (_endpoint, { pauseMilliseconds }) => {
                isPaused = pauseMilliseconds === 1_000;
            },
            onConnectionRefused: () => undefined,
            isPaused: () => isPaused,
            onAnswered: () => undefined,
            onSilentConnection: () => undefined,
        });
        const kinds: string[] = [];
        for (const request of ["first", "second"]) {
            const result = await paused.runPass({ ...pass, request }, 3);
            kinds.push(result.ok ? "ok" : result.val.kind);
            await paused.cancel({ request, attempt: 1 });
        }
        await paused.close();
        await new Promise(resolve => server.close(resolve));
        assert.deepEqual(kinds, ["refused", "refused"]);
        assert.equal(requestCount, 1);
    });

    it("reports that nothing was sent if no connection is established", async () => {
        const closed = createConnection("127.0.0.1:1");
        const result = await closed.runPass(pass, 3);
        assert.ok(!result.ok);
        assert.equal(result.val.kind, "notSent");
        await closed.close();
    });

    describe("with a fake clock", () => {
        /** Longer than the initial deadline of a pass with one position, shorter than that of a long pass. */
        const overdueMilliseconds = 1_000;
        const longPositions = 1_000;
        let clock: FakeClock;
        let timed: EngineConnection;
        let elapsed: number[];

        beforeEach(() => {
            clock = FakeClock.create();
            elapsed = [];
            timed = EngineConnection.create({
                endpoint: "engine",
                address: toEndpointAddress(engine.getAddress()),
                clock,
                onInstructions: () => undefined,
                onConnectionRefused: () => undefined,
                isPaused: () => false,
                onAnswered: (_endpoint, _pass, _result, elapsedMilliseconds) => void elapsed.push(elapsedMilliseconds),
                onSilentConnection: () => undefined,
            });
        });

        afterEach(async () => {
            engine.setFaults({ freeze: false, slowFactor: 1 });
            await timed.close();
        });

        it("fails all pending passes after a failed probe, and new passes immediately", async () => {
            engine.setFaults({ freeze: true });
            const short = timed.runPass({ ...pass, request: "short" }, 1);
            const long = timed.runPass({ ...pass, request: "long" }, longPositions);
            await clock.advance(overdueMilliseconds);
            for (const result of await Promise.all([short, long])) {
                assert.ok(!result.ok);
                assert.equal(result.val.kind, "unreachable");
            }
            const next = await timed.runPass({ ...pass, request: "next" }, 1);
            assert.ok(!next.ok);
            assert.equal(next.val.kind, "notSent");
        });

        it("detects an unreachable engine that was not used before without waiting for a deadline", async () => {
            engine.setFaults({ freeze: true });
            const result = await timed.runPass({ ...pass, request: "unused" }, longPositions);
            assert.ok(!result.ok);
            assert.equal(result.val.kind, "unreachable");
        });

        it("accepts passes again when the engine answers, or after a while", async () => {
            engine.setFaults({ freeze: true });
            const first = timed.runPass({ ...pass, request: "first" }, 1);
            await clock.advance(overdueMilliseconds);
            await first;
            engine.setFaults({ freeze: false });
            assert.ok(await timed.isAnswering());
            assert.ok((await timed.runPass({ ...pass, request: "answered" }, 1)).ok);
            engine.setFaults({ freeze: true });
            assert.ok(!await timed.isAnswering());
            engine.setFaults({ freeze: false });
            await clock.advance(overdueMilliseconds);
            assert.ok((await timed.runPass({ ...pass, request: "later" }, 1)).ok);
        });

        it("measures the time of a pass from the send that was answered", async () => {
            engine.setFaults({ slowFactor: 100 });
            const result = timed.runPass({ ...pass, request: "slow" }, 1);
            await clock.advance(overdueMilliseconds);
            assert.ok((await result).ok);
            assert.deepEqual(elapsed, [overdueMilliseconds]);
        });
    });
});
