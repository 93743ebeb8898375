import type { EngineModel } from "../../../version/routing/engineModel.ts";
import { peerReportTimeToLiveMilliseconds } from "../../admission/peerReportTimeToLiveMilliseconds.ts";
import type { DataCentreLink } from "./dataCentreLink.ts";
import { formatDataCentreLink } from "./formatDataCentreLink.ts";
import { getActivationBits } from "./getActivationBits.ts";
import { getUsableRate } from "./getUsableRate.ts";

/** Last message of a peer, as far as links are concerned. */
interface PeerDemand {
    receivedAt: number;
    /** Tokens per second of new requests that arrive at the peer. */
    demand: number;
    /** Links that the peer uses or has recently had to wait for. */
    links: ReadonlySet<string>;
}

/** Options of {@link LinkShares}. */
interface LinkSharesOptions {
    /** Gets the tokens per second of new requests that arrive at this node. */
    getDemand(): number;
    /** Gets the number of live nodes, including this one. */
    getNodeCount(): number;
}

const millisecondsPerSecond = 1_000;
/** Time after which a peer that needs the same link has found that it does, so that its message names the link. */
const noticeMilliseconds = 1_000;
/** Minimum share of a node with little demand, as a fraction of an equal share, for requests that may come next. */
const minimumShareFraction = 0.25;

/**
 * Divides the links between data centres among the nodes by the demand that can use each of them.
 *
 * Nodes without a recent message count with the mean of the others, so a node that hears from few peers still takes its own
 * share only. Without any message, it takes an equal share.
 */
export class LinkShares {
    private readonly options: LinkSharesOptions;
    private readonly peers = new Map<string, PeerDemand>();
    /** Monotonic time in milliseconds at which this node last needed each link. */
    private readonly neededAt = new Map<string, number>();
    /** Monotonic time in milliseconds since which each link is contended without a break. */
    private readonly contentions = new Map<string, { since: number; at: number; }>();
    /** Last result for links that are not contended. */
    private demandOfAll: { at: number; total: number; } | undefined;

    private constructor(options: LinkSharesOptions) {
        this.options = options;
    }

    /** Creates an instance that knows of no peers. */
    static create(options: LinkSharesOptions): LinkShares {
        return new LinkShares(options);
    }

    /** Applies a peer's message. */
    applyPeer(peerId: string, demand: number, links: readonly string[], now: number): void {
        this.demandOfAll = undefined;
        this.peers.set(peerId, { receivedAt: now, demand, links: new Set(links) });
    }

    /** Records that a request of this node needs a link. */
    noteNeed(link: string, now: number): void {
        this.neededAt.set(link, now);
    }

    /** Records that more requests of all nodes need a link than it bears. Peers that don't need it then leave their share to the others. */
    noteContention(link: string, now: number): void {
        const known = this.contentions.get(link);
        const isContinued = known !== undefined && now - known.at <= peerReportTimeToLiveMilliseconds;
        this.contentions.set(link, { since: isContinued ? known.since : now, at: now });
    }

    /** Lists the links that this node has needed recently, and forgets outdated messages. */
    listNeeded(now: number): string[] {
        for (const [peerId, { receivedAt }] of this.peers) {
            if (now - receivedAt > peerReportTimeToLiveMilliseconds) {
                this.peers.delete(peerId);
            }
        }
        return [...this.neededAt].filter(([, at]) => now - at <= peerReportTimeToLiveMilliseconds).map(([link]) =>
            link
        );
    }

    /** Gets this node's share of a link, above 0 and at most 1. */
    getShare(from: string, to: string, now: number): number {
        const own = this.options.getDemand();
        const total = this.getTotalDemand(from, to, now);
        const equalShare = 1 / this.options.getNodeCount();
        return total > 0 ? Math.min(1, Math.max(own / total, equalShare * minimumShareFraction)) : equalShare;
    }

    /** Gets the traffic that the new requests of all nodes would put on a link, as a multiple of what they may use of it. */
    getDemandRatio({ from, to }: DataCentreLink, model: EngineModel, now: number): number {
        const bitsPerSecond = getActivationBits(model, this.getTotalDemand(from, to, now));
        return bitsPerSecond / (getUsableRate(model) * millisecondsPerSecond);
    }

    /** Gets the tokens per second of new requests that can use a link, at all nodes. */
    private getTotalDemand(from: string, to: string, now: number): number {
        const link = formatDataCentreLink(from, to);
        const contention = this.contentions.get(link);
        if (contention !== undefined && now - contention.at <= peerReportTimeToLiveMilliseconds) {
            const reportedFrom = contention.since + noticeMilliseconds;
            return this.sumDemand(now, peer => peer.links.has(link) || peer.receivedAt < reportedFrom);
        }
        // One search for a chain asks for all links between the data centres.
        if (this.demandOfAll?.at !== now) {
            this.demandOfAll = { at: now, total: this.sumDemand(now, () => true) };
        }
        return this.demandOfAll.total;
    }

    private sumDemand(now: number, isCompeting: (peer: PeerDemand) => boolean): number {
        let heard = 0;
        let demand = 0;
        for (const peer of this.peers.values()) {
            if (now - peer.receivedAt <= peerReportTimeToLiveMilliseconds) {
                heard += 1;
                demand += isCompeting(peer) ? peer.demand : 0;
            }
        }
        const own = this.options.getDemand();
        const others = this.options.getNodeCount() - 1;
        return heard === 0 ? own * (1 + others) : own + demand + Math.max(0, others - heard) * demand / heard;
    }
}
