import type { RandomSource } from "../../../process/randomSource.ts";
import type { TunnelPeer } from "./tunnelPeer.ts";

/** Options of {@link TunnelPeers}. */
interface TunnelPeersOptions {
    /** Lists the live peers that take tunnels. */
    listPeers(): TunnelPeer[];
    random: RandomSource;
}

/** Time for which a peer that did not open a tunnel is not asked again. */
const failureMilliseconds = 1_000;
/** A peer that can't connect to this fraction of the endpoints has lost its links too. */
const cutOffFraction = 0.9;
/** Peers whose reports differ by less than this are equally suitable. */
const similarFraction = 0.1;

/** Chooses the peers through which this node connects to endpoints that it can't reach itself. */
export class TunnelPeers {
    private readonly options: TunnelPeersOptions;
    /** Monotonic time of the last failure in milliseconds, by address. */
    private readonly failures = new Map<string, number>();

    private constructor(options: TunnelPeersOptions) {
        this.options = options;
    }

    /** Creates an instance. */
    static create(options: TunnelPeersOptions): TunnelPeers {
        return new TunnelPeers(options);
    }

    /**
     * Chooses a random one of the peers that reach the most endpoints, so that nodes that lose their links together spread over
     * all of them.
     * @param excluded - Addresses of peers that were asked already.
     * @param now - Monotonic time in milliseconds.
     * @returns The address of its listener for tunnels; undefined if there is no other peer.
     */
    choose(excluded: ReadonlySet<string>, now: number): string | undefined {
        const peers = this.options.listPeers().filter(({ address, unreachableFraction }) =>
            !excluded.has(address) && unreachableFraction < cutOffFraction
            && now - this.getFailureTime(address) >= failureMilliseconds
        );
        const least = Math.min(...peers.map(({ unreachableFraction }) => unreachableFraction));
        const suitable = peers.filter(({ unreachableFraction }) => unreachableFraction <= least + similarFraction);
        return suitable[Math.floor(this.options.random() * suitable.length)]?.address;
    }

    /** Records that a peer did not open a tunnel. */
    recordFailure(address: string, now: number): void {
        this.failures.set(address, now);
    }

    /** Checks if connections through a peer may be used that were opened or last received bytes at the given time. */
    isUsable(address: string, lastByteAt: number): boolean {
        return this.getFailureTime(address) <= lastByteAt
            && this.options.listPeers().some(peer => peer.address === address);
    }

    private getFailureTime(address: string): number {
        return this.failures.get(address) ?? -Infinity;
    }
}
