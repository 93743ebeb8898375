import type { Clock } from "../../../process/clock.ts";
import { TunnelFailureKind } from "../../peer/tunnel/tunnelFailureKind.ts";
import { ConnectionOpening } from "./connectionOpening.ts";
import type { CreateSocket } from "./createSocket.ts";
import type { EndpointPaths } from "./endpointPaths.ts";
import { isResetFailure } from "./isResetFailure.ts";
import { openDirect } from "./openDirect.ts";
import type { OpeningFailure } from "./openingFailure.ts";
import type { OpenTunnel } from "./openTunnel.ts";
import { PathState } from "./pathState.ts";
import type { TunnelPeers } from "./tunnelPeers.ts";

/** Options of a {@link PathTester}. */
interface PathTesterOptions {
    clock: Pick<Clock, "setTimer" | "getMonotonicTime">;
    paths: EndpointPaths;
    peers: TunnelPeers;
    createSocket: CreateSocket;
    openTunnel: OpenTunnel;
}

/** Connections open within a few milliseconds; the rest allows for a busy event loop at either end. */
const directTimeoutMilliseconds = 120;
const tunnelTimeoutMilliseconds = 200;
/** A test of a path. */
interface PathTest {
    /** Monotonic time in milliseconds at which it began. */
    startedAt: number;
    result: Promise<PathState>;
}

/** Tests whether endpoints can be reached, by opening connections that carry no request. */
export class PathTester {
    private readonly options: PathTesterOptions;
    /** The tests in progress, by path. */
    private readonly tests = new Map<string, PathTest>();

    private constructor(options: PathTesterOptions) {
        this.options = options;
    }

    /** Creates a tester. */
    static create(options: PathTesterOptions): PathTester {
        return new PathTester(options);
    }

    /**
     * Tests the path to an address. Concurrent calls share a test, unless it began before the call and found the path open: the endpoint may
     * have crashed since.
     */
    test(address: string): Promise<PathState> {
        return this.share(address, this.getTime(), () => this.run(address));
    }

    /** Tests the path to an address through a peer, likewise. */
    testPeer(peer: string, address: string): Promise<PathState> {
        return this.share(
            `${peer} ${address}`,
            this.getTime(),
            async () => await this.testTunnel(peer, address) ? PathState.Open : PathState.Lost,
        );
    }

    /** Tests the direct path to an address. Returns whether a connection was opened. */
    testDirect(address: string): Promise<boolean> {
        const { clock, paths, createSocket } = this.options;
        return new Promise(resolve => {
            openDirect({
                address,
                timeoutMilliseconds: directTimeoutMilliseconds,
                clock,
                createSocket,
                onDone: result => {
                    const now = clock.getMonotonicTime();
                    if (result.ok) {
                        result.val.destroy();
                        paths.recordOpened(address, now);
                    }
                    else {
                        paths.recordFailed(address, result.val, now);
                    }
                    resolve(result.ok);
                },
            });
        });
    }

    /** Shares the test of a path that began with a call or after it. All calls that wait for a test share the next one. */
    private share(key: string, calledAt: number, run: () => Promise<PathState>): Promise<PathState> {
        const running = this.tests.get(key);
        if (running === undefined) {
            return this.start(key, run);
        }
        return running.startedAt >= calledAt
            ? running.result
            : running.result.then(state => state === PathState.Open ? this.share(key, calledAt, run) : state);
    }

    private start(key: string, run: () => Promise<PathState>): Promise<PathState> {
        const test = { startedAt: this.getTime(), result: run() };
        this.tests.set(key, test);
        void test.result.then(() => this.tests.delete(key));
        return test.result;
    }

    /** Opens a connection through a peer. Returns whether this succeeded. */
    private testTunnel(peer: string, address: string): Promise<boolean> {
        const { clock, peers, openTunnel } = this.options;
        return new Promise(resolve => {
            openTunnel({
                peer,
                address,
                timeoutMilliseconds: tunnelTimeoutMilliseconds,
                clock,
                onDone: result => {
                    if (result.ok) {
                        result.val.destroy();
                    }
                    else if (result.val.kind === TunnelFailureKind.Peer) {
                        peers.recordFailure(peer, clock.getMonotonicTime());
                    }
                    resolve(result.ok);
                },
            });
        });
    }

    private run(address: string): Promise<PathState> {
        return new Promise(resolve => {
            ConnectionOpening.start({
                ...this.options,
                address,
                directTimeoutMilliseconds,
                onDone: result => {
                    if (result.err) {
                        resolve(judgeFailure(result.val));
                        return;
                    }
                    const { socket, peer } = result.val;
                    socket.on("error", () => undefined);
                    socket.destroy();
                    resolve(peer === undefined ? PathState.Open : PathState.Lost);
                },
            });
        });
    }

    private getTime(): number {
        return this.options.clock.getMonotonicTime();
    }
}

function judgeFailure({ message, isProven }: OpeningFailure): PathState {
    if (isResetFailure(message)) {
        return PathState.Open;
    }
    return isProven ? PathState.Down : PathState.Unknown;
}
