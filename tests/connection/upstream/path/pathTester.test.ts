import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { EndpointPaths } from "../../../../src/connection/upstream/path/endpointPaths.ts";
import { PathState } from "../../../../src/connection/upstream/path/pathState.ts";
import { PathTester } from "../../../../src/connection/upstream/path/pathTester.ts";
import { TunnelPeers } from "../../../../src/connection/upstream/path/tunnelPeers.ts";
import { FakeClock } from "../../../support/fakeClock.ts";

const address = "127.0.0.1:1";

function createBench() {
    const clock = FakeClock.create();
    const sockets: EventEmitter[] = [];
    const createSocket = () => {
        const socket = Object.assign(new EventEmitter(), { destroy: () => undefined });
        sockets.push(socket);
        return socket as unknown as Socket;
    };
    const paths = EndpointPaths.create({ onChanged: () => undefined, onRefused: () => undefined });
    const peers = TunnelPeers.create({ listPeers: () => [], random: () => 0 });
    const tester = PathTester.create({ clock, paths, peers, createSocket, openTunnel: () => () => undefined });
    return { clock, sockets, tester };
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
});
