import type { Clock, TimerHandle } from "../../../process/clock.ts";
import type { RandomSource } from "../../../process/randomSource.ts";
import type { Result } from "../../../result.ts";
import { ConnectionOpening } from "./connectionOpening.ts";
import type { ConnectionPath } from "./connectionPath.ts";
import type { CreateSocket } from "./createSocket.ts";
import type { EndpointPaths } from "./endpointPaths.ts";
import type { OpenedSocket } from "./openedSocket.ts";
import type { OpenTunnel } from "./openTunnel.ts";
import type { PathState } from "./pathState.ts";
import { PathTester } from "./pathTester.ts";
import type { TunnelPeers } from "./tunnelPeers.ts";

/** Options of an {@link EndpointConnector}. */
interface EndpointConnectorOptions {
    clock: Pick<Clock, "setTimer" | "getMonotonicTime">;
    paths: EndpointPaths;
    peers: TunnelPeers;
    createSocket: CreateSocket;
    openTunnel: OpenTunnel;
    random: RandomSource;
    /** Called in each review: connections whose path doesn't work, or is not needed any more, should be closed. */
    onReview(): void;
}

/**
 * Two round trips between data centres and the acceptance of the connection take a few milliseconds. The rest allows
 * for the retransmission of a lost packet.
 */
const directTimeoutMilliseconds = 700;
/** Interval between reviews of unreachable addresses, while there are any. */
const reviewMilliseconds = 250;
/** Maximum number of unreachable addresses that are tried again in a review, so that links that return are not flooded. */
const retriesPerReview = 8;
/** Minimum interval between tests of all addresses. */
const sweepIntervalMilliseconds = 2_000;
/** Number of addresses that are tested first: several endpoints may just have ended. */
const sampleSize = 3;
/** Maximum number of addresses that are tested at once. */
const maximumSweep = 64;

/** Opens connections to endpoints, directly or through peers, and judges the paths of open ones. */
export class EndpointConnector {
    private readonly options: EndpointConnectorOptions;
    private readonly tester: PathTester;
    private timer: TimerHandle | undefined;
    private sweptAt = -Infinity;
    private isClosed = false;

    private constructor(options: EndpointConnectorOptions) {
        this.options = options;
        this.tester = PathTester.create(options);
    }

    /** Creates a connector. */
    static create(options: EndpointConnectorOptions): EndpointConnector {
        return new EndpointConnector(options);
    }

    /**
     * Opens a connection to an endpoint.
     * @param address - host:port of the endpoint.
     * @param onDone - Called once, with the connection or the reason for the failure.
     */
    open(address: string, onDone: (result: Result<OpenedSocket, string>) => void): void {
        ConnectionOpening.start({
            ...this.options,
            address,
            directTimeoutMilliseconds,
            onDone: result => onDone(result.mapErr(({ message }) => message)),
        });
    }

    /**
     * Tests the path of a connection that has failed or is silent.
     * @returns `Lost` if the endpoint is alive and only this path to it doesn't work.
     */
    test({ address, peer }: Pick<ConnectionPath, "address" | "peer">): Promise<PathState> {
        return peer === undefined ? this.tester.test(address) : this.tester.testPeer(peer, address);
    }

    /** Checks if the path of a connection is known not to work, and the connection has received nothing since it failed. */
    isLost({ address, peer, lastByteAt }: ConnectionPath): boolean {
        const { paths, peers } = this.options;
        return peer === undefined
            ? (paths.getFailingSince(address) ?? -Infinity) > lastByteAt
            : !peers.isUsable(peer, lastByteAt);
    }

    /** Checks if an idle connection may carry a request: its path works, and there is no shorter one. */
    isUsable(path: ConnectionPath): boolean {
        const isDetour = path.peer !== undefined && this.options.paths.getFailingSince(path.address) === undefined;
        return !isDetour && !this.isLost(path);
    }

    /** Checks if a peer may be able to connect to an address. */
    hasPeer(address: string): boolean {
        const { clock, paths, peers } = this.options;
        const now = clock.getMonotonicTime();
        return paths.mayAskPeers(address, now) && peers.choose(new Set(), now) !== undefined;
    }

    /**
     * Handles that an address has become unreachable. If several have, others are tested, since connections to them that are
     * held open may be dead.
     * @param listAddresses - Lists the addresses to which connections are held open.
     */
    handleUnreachable(listAddresses: () => string[]): void {
        this.scheduleReview();
        const { clock, paths } = this.options;
        const now = clock.getMonotonicTime();
        if (now - this.sweptAt < sweepIntervalMilliseconds || !paths.hasCoincidence(now)) {
            return;
        }
        this.sweptAt = now;
        void this.sweep(listAddresses().filter(address => paths.getFailingSince(address) === undefined));
    }

    /** Stops the reviews. */
    close(): void {
        this.isClosed = true;
        this.timer?.cancel();
    }

    /** Tests some addresses, and the others if one of them is unreachable. */
    private async sweep(addresses: readonly string[]): Promise<void> {
        const first = Math.floor(this.options.random() * addresses.length);
        const shuffled = [...addresses.slice(first), ...addresses.slice(0, first)];
        const sample = shuffled.slice(0, sampleSize);
        const results = await Promise.all(sample.map(address => this.tester.testDirect(address)));
        if (results.every(isOpen => isOpen)) {
            return;
        }
        for (const address of shuffled.slice(sampleSize, maximumSweep)) {
            void this.tester.testDirect(address);
        }
    }

    private scheduleReview(): void {
        if (!this.isClosed) {
            this.timer ??= this.options.clock.setTimer(reviewMilliseconds, () => this.review());
        }
    }

    private review(): void {
        const { clock, paths, onReview } = this.options;
        this.timer = undefined;
        onReview();
        for (const address of paths.listDue(clock.getMonotonicTime(), retriesPerReview)) {
            void this.tester.testDirect(address);
        }
        if (paths.getFailingCount() > 0) {
            this.scheduleReview();
        }
    }
}
