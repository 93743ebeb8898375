import { create, type MessageInitShape } from "@bufbuild/protobuf";
import {
    type ExchangeRequest,
    type ExchangeRequestSchema,
    type ExchangeResponseSchema,
    type FetchRequest,
    type FetchResponse,
    NodeStateSchema,
} from "../../wire/generated/foxlead/router/v1/router_pb.ts";
import type { TimerHandle } from "../clock.ts";
import { ProcessorAccount } from "../loop/processorAccount.ts";
import { ProcessorCause } from "../loop/processorCause.ts";
import { ChangeFetcher } from "./changeFetcher.ts";
import { maximumFullMeshNodes } from "./maximumFullMeshNodes.ts";
import { PartnerSelector } from "./partnerSelector.ts";
import type { PeerExchangeOptions } from "./peerExchangeOptions.ts";
import { PeerMessages } from "./peerMessages.ts";
import { RouterPeers } from "./routerPeers.ts";

const account = ProcessorAccount.ofProcess;
/** Interval between rounds in small deployments. */
const roundMilliseconds = 300;
/**
 * Interval in large deployments. An update reaches each node in two hops of at most two of these rounds each, before the node
 * would watch the store itself.
 */
const largeRoundMilliseconds = 450;
/** Minimum interval between rounds. A new update starts a round immediately, but not sooner than this. */
const minimumRoundMilliseconds = 100;
const callTimeoutMilliseconds = 600;

/** A message to a peer. */
type SentExchange = Exclude<MessageInitShape<typeof ExchangeRequestSchema>, ExchangeRequest> & {
    wantedRetries: number;
};

/** Exchanges state with some peers in each round, and fetches missing changes of the store from them. */
export class PeerExchange {
    private readonly options: PeerExchangeOptions;
    private readonly peers: RouterPeers;
    private readonly partners: PartnerSelector;
    private readonly fetching: ChangeFetcher;
    private readonly messages: PeerMessages;
    private timer: TimerHandle | undefined;
    private round = 0;
    private lastRoundAt = -Infinity;
    private isStopped = false;

    private constructor(options: PeerExchangeOptions) {
        this.options = options;
        const { sections, dataCentre, clock, log, proof } = options;
        this.peers = RouterPeers.create(log, clock);
        this.partners = PartnerSelector.create({ ...options, peers: this.peers });
        this.fetching = ChangeFetcher.create({
            sections,
            dataCentre,
            peers: this.peers,
            clock,
            log,
            isDistributor: () => this.partners.isDistributor(),
            onFresh: freshAt => proof.recordPeerTime(freshAt),
            onUpdate: () => this.propagateUpdate(),
        });
        this.messages = PeerMessages.create({ ...options, fetching: this.fetching });
    }

    /** Creates an exchange, which does nothing before {@link start}. */
    static create(options: PeerExchangeOptions): PeerExchange {
        return new PeerExchange(options);
    }

    /** Starts the rounds. */
    start(): void {
        this.runRound();
    }

    /** Stops the rounds and closes the connections. */
    stop(): void {
        this.isStopped = true;
        this.timer?.cancel();
        this.peers.close();
    }

    /** Schedules a round to pass on a new update without waiting for the next interval. */
    propagateUpdate(): void {
        const { clock } = this.options;
        const wait = Math.max(0, this.lastRoundAt + minimumRoundMilliseconds - clock.getMonotonicTime());
        this.timer?.cancel();
        this.timer = clock.setTimer(wait, () => this.runRound());
    }

    /**
     * Tells the nodes from which all others get updates that this node's copy has changed. Otherwise each of them would ask for
     * changes of one node in a round, and only this one has them if the others' waiting calls were lost.
     */
    announceMissedChanges(): void {
        this.exchangeWith(this.partners.listDistributors());
    }

    /** Asks some peers at once for retries that they can spare, if streams of this node that have begun wait for them. */
    askForRetries(): void {
        const { retries, clock } = this.options;
        if (this.isStopped) {
            return;
        }
        const ask = retries.ask(clock.getMonotonicTime(), () => this.partners.listLive().length);
        if (ask !== undefined) {
            this.exchangeWith(this.partners.selectRandom(ask.peers), ask.wanted);
        }
    }

    /** Applies a peer's state and responds with the state of this node, and with the retries that the peer asked for. */
    handleExchange(
        { state = create(NodeStateSchema), wantedRetries }: ExchangeRequest,
    ): MessageInitShape<typeof ExchangeResponseSchema> {
        const { retries, clock } = this.options;
        account.run(ProcessorCause.PeerApply, () => this.messages.apply(state));
        const grantedRetries = retries.grant(state.sender?.nodeId ?? "", wantedRetries, clock.getMonotonicTime());
        return { state: this.buildState(state.knownNodes), grantedRetries };
    }

    /** Responds with the store changes that a peer lacks. */
    handleFetch(request: FetchRequest): FetchResponse {
        return account.run(
            ProcessorCause.PeerBuild,
            () => this.fetching.createResponse(request, this.messages.getFreshAge()),
        );
    }

    private runRound(): void {
        if (this.isStopped) {
            return;
        }
        const { clock, overload, random } = this.options;
        this.timer?.cancel();
        overload.review();
        this.round += 1;
        this.lastRoundAt = clock.getMonotonicTime();
        this.exchangeWith(this.partners.select(this.round));
        const delay = this.getRoundInterval() * (0.8 + 0.4 * random());
        this.timer = clock.setTimer(delay, () => this.runRound());
    }

    private getRoundInterval(): number {
        const isLarge = this.partners.listLive().length >= maximumFullMeshNodes;
        const interval = isLarge ? largeRoundMilliseconds : roundMilliseconds;
        return interval * this.options.overload.getExchangeIntervalFactor();
    }

    /**
     * Sends this node's state to peers, except those that have not answered yet. All get the same message, which is built once.
     * @param wantedRetries - Retries to ask each of them for.
     */
    private exchangeWith(addresses: readonly string[], wantedRetries = 0): void {
        const idle = addresses.filter(address => this.peers.getCallCount(address) === 0);
        if (idle.length === 0) {
            return;
        }
        const request = { state: this.buildState(), wantedRetries };
        for (const address of idle) {
            void this.exchange(address, request);
        }
    }

    private async exchange(address: string, request: SentExchange): Promise<void> {
        const { clock, retries } = this.options;
        const sentAt = clock.getMonotonicTime();
        const response = await this.peers.call(
            address,
            client => client.exchange(request, { timeoutMs: callTimeoutMilliseconds }),
        );
        const state = response?.state;
        if (state !== undefined) {
            account.run(ProcessorCause.PeerApply, () => this.messages.applyResponse(state, sentAt));
            const { wantedRetries: wanted } = request;
            retries.accept({ address, wanted, granted: response!.grantedRetries }, clock.getMonotonicTime());
        }
    }

    private buildState(knownToPeer?: number) {
        return account.run(ProcessorCause.PeerBuild, () => this.messages.build(knownToPeer));
    }
}
