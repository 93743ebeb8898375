import { choosePartners } from "./choosePartners.ts";
import type { KnownNode } from "./knownNode.ts";
import { listDistributors } from "./listDistributors.ts";
import { listUpdateSources } from "./listUpdateSources.ts";
import { maximumFullMeshNodes } from "./maximumFullMeshNodes.ts";
import type { PeerExchangeOptions } from "./peerExchangeOptions.ts";
import type { RouterPeers } from "./routerPeers.ts";

/** Options of a {@link PartnerSelector}. */
interface PartnerSelectorOptions extends PeerExchangeOptions {
    /** Knows which peers answer. */
    peers: Pick<RouterPeers, "isUnreachable" | "getCallCount">;
}

/** A seed that is not known as a live node is called once in this many rounds. */
const roundsPerSeedCall = 4;

/** Selects the nodes with which this one exchanges state: those that {@link choosePartners} chooses, unreachable ones and seeds. */
export class PartnerSelector {
    private readonly options: PartnerSelectorOptions;

    private constructor(options: PartnerSelectorOptions) {
        this.options = options;
    }

    /** Creates a selector, which keeps nothing itself. */
    static create(options: PartnerSelectorOptions): PartnerSelector {
        return new PartnerSelector(options);
    }

    /** Gets the other live nodes. */
    listLive(): KnownNode[] {
        const { nodes, clock } = this.options;
        return nodes.getLiveNodes(clock.getMonotonicTime());
    }

    /** Checks if other nodes get store updates from this one. */
    isDistributor(): boolean {
        return this.listSources().isDistributor;
    }

    /** Lists the addresses of the nodes from which all others get updates. */
    listDistributors(): readonly string[] {
        return listDistributors(this.describeOwn(), this.listLive(), this.options.owners);
    }

    /** Selects the addresses to call in a round. */
    select(round: number): string[] {
        const { nodeId, dataCentre, random, seeds, address, isBusy, proof } = this.options;
        const live = this.listLive();
        const nodes = this.listCandidates(live);
        const { isDistributor, addresses } = this.listSources();
        const sources = addresses.filter(source => this.isIdle(source));
        const partners = choosePartners({
            nodeId,
            dataCentre,
            nodes,
            sources,
            isDistributor,
            round,
            isProofDue: proof.isRequestDue(isDistributor),
            isBusy: isBusy(),
            random,
        });
        this.addUnreachable(partners, live);
        const isSeedRound = live.length === 0 || round % roundsPerSeedCall === 0;
        for (const seed of isSeedRound ? seeds : []) {
            if (seed !== address && !live.some(node => node.address === seed)) {
                partners.add(seed);
            }
        }
        return [...partners];
    }

    /** Selects random nodes that answer, as far as known. Each of them may spare what this node lacks. */
    selectRandom(count: number): string[] {
        const idle = this.listLive().map(({ address }) => address).filter(address => this.isIdle(address));
        const start = Math.floor(this.options.random() * idle.length);
        return [...idle.slice(start), ...idle.slice(0, start)].slice(0, count);
    }

    private describeOwn() {
        const { nodeId, dataCentre, storeWatch } = this.options;
        return { nodeId, dataCentre, isWithoutStore: storeWatch.isWithoutStore() };
    }

    private listSources() {
        return listUpdateSources(this.describeOwn(), this.listLive(), this.options.owners);
    }

    /** Checks if a source answers, as far as known. One that has not answered yet may stand still. */
    private isIdle(source: string): boolean {
        const { peers } = this.options;
        return !peers.isUnreachable(source) && peers.getCallCount(source) === 0;
    }

    /**
     * Excludes unreachable nodes, but only in large deployments. In small ones, one node of each pair calls the other, which
     * requires that all see the same nodes. Otherwise some pairs stop exchanging state while nodes restart in turn, and endpoint
     * capacity is shared based on stale loads.
     */
    private listCandidates(live: readonly KnownNode[]): readonly KnownNode[] {
        return live.length < maximumFullMeshNodes
            ? live
            : live.filter(node => !this.options.peers.isUnreachable(node.address));
    }

    /** Adds one random unreachable peer, since otherwise no node would detect that it answers again. */
    private addUnreachable(partners: Set<string>, live: readonly KnownNode[]): void {
        const { peers, random } = this.options;
        const unreachable = live.filter(node => peers.isUnreachable(node.address));
        const node = unreachable[Math.floor(random() * unreachable.length)];
        if (node !== undefined) {
            partners.add(node.address);
        }
    }
}
