import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { TunnelFailure } from "../../../../src/connection/peer/tunnel/tunnelFailure.ts";
import { TunnelFailureKind } from "../../../../src/connection/peer/tunnel/tunnelFailureKind.ts";
import { EndpointPaths } from "../../../../src/connection/upstream/path/endpointPaths.ts";
import type { OpenTunnel } from "../../../../src/connection/upstream/path/openTunnel.ts";
import { PathState } from "../../../../src/connection/upstream/path/pathState.ts";
import { PathTester } from "../../../../src/connection/upstream/path/pathTester.ts";
import { TunnelPeers } from "../../../../src/connection/upstream/path/tunnelPeers.ts";
import { Err, Ok } from "../../../../src/result.ts";
import { FakeClock } from "../../../support/fakeClock.ts";

const address = "127.0.0.1:1";
const readingMilliseconds = 0.001;

/** Longer than a test of a path takes. */
const waitMilliseconds = 1_000;

function createBench(peerAddresses: string[] = [], openTunnel: OpenTunnel = () => () => undefined) {
    const clock = FakeClock.create();
    let readings = 0;
    // No two readings of a real clock are the same.
    const preciseClock = {
        getMonotonicTime: () => clock.getMonotonicTime() + ++readings * readingMilliseconds,
        setTimer: clock.setTimer.bind(clock),
    };
    const sockets: EventEmitter[] = [];
    const createSocket = () => {
        const socket = Object.assign(new EventEmitter(), { destroy: () => undefined });
        sockets.push(socket);
        return socket as unknown as Socket;
    };
    const downAddresses: string[] = [];
    const paths = EndpointPaths.create({
        onChanged: () => undefined,
        onRefused: () => undefined,
        onDown: downAddress => downAddresses.push(downAddress),
    });
    const peers = TunnelPeers.create({
        listPeers: () => peerAddresses.map(peerAddress => ({ address: peerAddress, unreachableFraction: 0 })),
        random: () => 0,
    });
    const createTester = (testerClock: Pick<FakeClock, "getMonotonicTime" | "setTimer">) =>
        PathTester.create({ clock: testerClock, paths, peers, createSocket, openTunnel });
    return { clock, sockets, downAddresses, tester: createTester(clock), preciseTester: createTester(preciseClock) };
}

/** Tests a path on which no direct connection opens, while peers fail in a way. */
async function testThroughPeers(peerAddresses: string[], kind: TunnelFailureKind, message: string): Promise<PathState> {
    const { clock, tester } = createBench(peerAddresses, ({ onDone }) => {
        onDone(Err(TunnelFailure.create(kind, message)));
        return () => undefined;
    });
    const test = tester.test(address);
    await clock.advance(waitMilliseconds);
    return test;
}

describe("PathTester", () => {
    // Guards against a crash that goes unnoticed because the path was tested just before it.
    it("tests a path again that was open in a test that began before the call", async () => {
        const { clock, sockets, tester } = createBench();
        const first = tester.test(address);
        await clock.advance(5);
        const later = [tester.test(address), tester.test(address)];
        sockets[0]!.emit("connect");
        assert.equal(await first, PathState.Open);
        await clock.advance(1);
        assert.equal(sockets.length, 2);
        sockets[1]!.emit("error", new Error("connect ECONNREFUSED"));
        assert.deepEqual(await Promise.all(later), [PathState.Down, PathState.Down]);
        void tester.test(address);
        assert.equal(sockets.length, 3);
    });

    it("shares a test among simultaneous calls", async () => {
        const { sockets, tester } = createBench();
        const tests = [tester.test(address), tester.test(address)];
        assert.equal(sockets.length, 1);
        sockets[0]!.emit("connect");
        assert.deepEqual(await Promise.all(tests), [PathState.Open, PathState.Open]);
    });

    // Guards against streams that wait for one test after the other when many connections to an endpoint break at once.
    it("shares one more test among calls that came one after the other while a test ran", async () => {
        const { clock, sockets, preciseTester } = createBench();
        const tests = Array.from({ length: 5 }, () => preciseTester.test(address));
        for (const index of [0, 1]) {
            sockets[index]!.emit("connect");
            await clock.advance(1);
        }
        assert.equal(sockets.length, 2);
        assert.deepEqual(await Promise.all(tests), tests.map(() => PathState.Open));
    });

    // Guards against taking an endpoint for crashed that has too many connections, and closes new ones at once.
    it("finds a path open on which the endpoint closes the connection at once", async () => {
        const { sockets, tester } = createBench();
        const test = tester.test(address);
        sockets[0]!.emit("error", new Error("connect ECONNRESET"));
        assert.equal(await test, PathState.Open);
    });

    // Guards against taking endpoints for crashed, and requests for the cause, at a node that is itself cut off from endpoints and peers.
    it("takes an endpoint that doesn't answer for down only if a peer can't connect to it either", async () => {
        assert.equal(await testThroughPeers([], TunnelFailureKind.Peer, ""), PathState.Unknown);
        assert.equal(await testThroughPeers(["p"], TunnelFailureKind.Peer, "no answer"), PathState.Unknown);
        assert.equal(await testThroughPeers(["p"], TunnelFailureKind.Endpoint, "ECONNRESET"), PathState.Unknown);
        assert.equal(await testThroughPeers(["p"], TunnelFailureKind.Endpoint, "no answer"), PathState.Down);
    });

    // Guards against taking all endpoints for crashed at a node whose new connections are refused though the endpoints live.
    it("takes an endpoint that refuses the connection for down only if no peer opens one", async () => {
        const refused = new Error("connect ECONNREFUSED");
        const through = createBench(["p"], ({ onDone }) => {
            onDone(Ok(Object.assign(new EventEmitter(), { destroy: () => undefined }) as unknown as Socket));
            return () => undefined;
        });
        const lost = through.tester.test(address);
        through.sockets[0]!.emit("error", refused);
        assert.equal(await lost, PathState.Lost);
        assert.deepEqual(through.downAddresses, []);
        const alone = createBench();
        const down = alone.tester.test(address);
        alone.sockets[0]!.emit("error", refused);
        assert.equal(await down, PathState.Down);
        assert.deepEqual(alone.downAddresses, [address]);
    });
});
