import type { Clock, TimerHandle } from "../../../process/clock.ts";
import { Err, Ok, type Result } from "../../../result.ts";
import type { TunnelFailure } from "../../peer/tunnel/tunnelFailure.ts";
import { TunnelFailureKind } from "../../peer/tunnel/tunnelFailureKind.ts";
import type { CreateSocket } from "./createSocket.ts";
import type { EndpointPaths } from "./endpointPaths.ts";
import { isRefusedFailure } from "./isRefusedFailure.ts";
import { isResetFailure } from "./isResetFailure.ts";
import { openDirect } from "./openDirect.ts";
import type { OpenedSocket } from "./openedSocket.ts";
import type { OpeningFailure } from "./openingFailure.ts";
import type { OpenTunnel } from "./openTunnel.ts";
import type { ReceivingSocket } from "./receivingSocket.ts";
import type { TunnelPeers } from "./tunnelPeers.ts";

/** Options of a {@link ConnectionOpening}. */
interface ConnectionOpeningOptions {
    /** host:port of the endpoint. */
    address: string;
    clock: Pick<Clock, "setTimer" | "getMonotonicTime">;
    paths: EndpointPaths;
    peers: TunnelPeers;
    createSocket: CreateSocket;
    openTunnel: OpenTunnel;
    directTimeoutMilliseconds: number;
    /** Called once, with the connection or the reason for the failure. */
    onDone(result: Result<OpenedSocket, OpeningFailure>): void;
}

/** Longer than the peer needs to find out that it can't connect to the endpoint. */
const tunnelTimeoutMilliseconds = 200;
/** A peer that has not answered after this time may have lost its links too, so another one is asked besides. */
const nextPeerMilliseconds = 50;
const maximumPeers = 4;
/** An endpoint counts as down once this many peers have answered that they can't connect to it. */
const maximumEndpointFailures = 3;

/**
 * Opens a connection to an endpoint: directly or, if this node's link doesn't work or is slower, through a peer. The direct
 * attempt goes on after a peer was faster, since its result shows if the link works.
 */
export class ConnectionOpening {
    private readonly options: ConnectionOpeningOptions;
    private readonly triedPeers = new Set<string>();
    private timer: TimerHandle | undefined;
    private isDirectTried = false;
    private isDirectPending = false;
    private pendingTunnels = 0;
    private endpointFailures = 0;
    private failure = "no peer can connect to it.";
    private isProven = false;
    private isDone = false;

    private constructor(options: ConnectionOpeningOptions) {
        this.options = options;
    }

    /** Starts to open a connection. */
    static start(options: ConnectionOpeningOptions): void {
        new ConnectionOpening(options).run();
    }

    private run(): void {
        const { address, clock, paths } = this.options;
        const now = clock.getMonotonicTime();
        const { isDirect, peerDelayMilliseconds } = paths.planOpen(address, now);
        // Peers that have just failed to connect to it are not asked again.
        this.isProven = !paths.mayAskPeers(address, now);
        if (isDirect) {
            this.tryDirect();
        }
        if (peerDelayMilliseconds === 0) {
            this.tryPeer();
        }
        else {
            this.timer = clock.setTimer(peerDelayMilliseconds, () => this.tryPeer());
        }
    }

    private tryDirect(): void {
        const { address, clock, createSocket, directTimeoutMilliseconds } = this.options;
        this.isDirectTried = true;
        this.isDirectPending = true;
        openDirect({
            address,
            timeoutMilliseconds: directTimeoutMilliseconds,
            clock,
            createSocket,
            onDone: result => this.handleDirect(result),
        });
    }

    private handleDirect(result: Result<ReceivingSocket, string>): void {
        const { address, clock, paths } = this.options;
        const now = clock.getMonotonicTime();
        this.isDirectPending = false;
        if (result.ok) {
            paths.recordOpened(address, now);
            this.succeed({ socket: result.val, peer: undefined });
            return;
        }
        this.failure = result.val;
        if (isResetFailure(result.val)) {
            paths.recordOpened(address, now);
            this.fail();
            return;
        }
        this.isProven ||= isRefusedFailure(result.val);
        paths.recordFailed(address, result.val, now);
        this.tryPeer();
    }

    private tryPeer(): void {
        this.timer?.cancel();
        if (this.isDone) {
            return;
        }
        const { address, clock, openTunnel } = this.options;
        const peer = this.choosePeer();
        if (peer === undefined) {
            this.handleNoPeer();
            return;
        }
        this.triedPeers.add(peer);
        this.pendingTunnels += 1;
        openTunnel({
            peer,
            address,
            timeoutMilliseconds: tunnelTimeoutMilliseconds,
            clock,
            onDone: result => this.handleTunnel(peer, result),
        });
        this.timer = clock.setTimer(nextPeerMilliseconds, () => this.tryPeer());
    }

    private choosePeer(): string | undefined {
        const { address, clock, paths, peers } = this.options;
        const now = clock.getMonotonicTime();
        if (this.endpointFailures >= maximumEndpointFailures) {
            paths.recordPeersFailed(address, now);
            return undefined;
        }
        const mayAsk = this.triedPeers.size < maximumPeers && paths.mayAskPeers(address, now);
        return mayAsk ? peers.choose(this.triedPeers, now) : undefined;
    }

    private handleNoPeer(): void {
        if (!this.isDirectTried) {
            this.tryDirect();
        }
        else if (!this.isDirectPending && this.pendingTunnels === 0) {
            if (this.isProven) {
                this.options.paths.recordDown(this.options.address);
            }
            this.fail();
        }
    }

    private handleTunnel(peer: string, result: Result<ReceivingSocket, TunnelFailure>): void {
        const { address, clock, paths, peers } = this.options;
        const now = clock.getMonotonicTime();
        this.pendingTunnels -= 1;
        if (result.ok) {
            if (!this.isDone) {
                paths.recordFailed(address, "A connection through a peer opened first.", now);
            }
            this.succeed({ socket: result.val, peer });
            return;
        }
        if (result.val.kind === TunnelFailureKind.Peer) {
            peers.recordFailure(peer, now);
        }
        else {
            paths.noteFailure(address, result.val.message);
            this.endpointFailures += 1;
            this.isProven ||= !isResetFailure(result.val.message);
        }
        this.tryPeer();
    }

    private succeed(opened: OpenedSocket): void {
        if (this.isDone) {
            opened.socket.on("error", () => undefined);
            opened.socket.destroy();
            return;
        }
        this.finish(Ok(opened));
    }

    private fail(): void {
        this.finish(Err({ message: this.failure, isProven: this.isProven }));
    }

    private finish(result: Result<OpenedSocket, OpeningFailure>): void {
        if (!this.isDone) {
            this.isDone = true;
            this.timer?.cancel();
            this.options.onDone(result);
        }
    }
}
