import type { PeerError } from "../../connection/peer/peerError.ts";
import { PeerErrorKind } from "../../connection/peer/peerErrorKind.ts";
import type { Result } from "../../result.ts";
import type { GossipRequest, GossipResponse } from "../../wire/generated/foxlead/peer/v1/peer_pb.ts";
import type { Clock, TimerHandle } from "../clock.ts";
import type { EventLog } from "../logging/eventLog.ts";
import type { RandomSource } from "../randomSource.ts";
import type { Contact } from "./contact.ts";
import { ContactChooser } from "./contactChooser.ts";
import { GossipExchange } from "./gossipExchange.ts";
import type { GossipPayloads } from "./gossipPayloads.ts";
import { logMemberChange } from "./logMemberChange.ts";
import type { MembershipView } from "./membershipView.ts";
import { MemberState } from "./memberState.ts";

const defaultIntervalMilliseconds = 500;
const defaultFullMeshPeers = 8;
const defaultFanOut = 3;
const defaultPullIntervalMilliseconds = 60_000;
/** Largest jitter of a round, as a share of the interval. */
const jitterRatio = 0.2;
/** A call during which this process was late for more than this share of the time says nothing of the peer. */
const maximumLateFraction = 0.25;

/** Options of a {@link Gossiper}. */
interface GossiperOptions {
    view: MembershipView;
    payloads: GossipPayloads;
    clock: Clock;
    random: RandomSource;
    log: EventLog;
    /** Calls Gossip at an address. The call must have its own timeout. */
    callGossip(address: string, request: GossipRequest): Promise<Result<GossipResponse, PeerError>>;
    /** Called when a peer reports a higher configuration version than this node's. */
    onPeerConfigurationVersion(version: number, peerAddress: string): void;
    /** Mean time between two rounds in milliseconds. Default 500. */
    intervalMilliseconds?: number;
    /** All peers are contacted in each round if there are at most this many. Default 8, a full mesh of 9 nodes. */
    fullMeshPeers?: number;
    /** Peers contacted in each round if there are more. Default 3, so that 340 nodes stay within their budget. */
    fanOut?: number;
    /** Mean time between two pulls of a peer's full view in milliseconds. Default 60000. */
    pullIntervalMilliseconds?: number;
    /** Most membership changes in one message. Default 8. */
    piggybackLimit?: number;
    /** Most bytes of endpoint and demand records in one message. Default 256. */
    payloadBudgetBytes?: number;
}

/**
 * Exchanges heartbeats with peers in rounds. A peer that does not answer twice, the second time over a new connection, is
 * suspected. The suspicion spreads to other nodes, some of which check the peer out of turn, and its refutation spreads
 * back. This takes the place of SWIM's indirect probes.
 */
export class Gossiper {
    private readonly options: GossiperOptions;
    private readonly view: MembershipView;
    private readonly exchange: GossipExchange;
    private readonly chooser: ContactChooser;
    private readonly pending = new Set<string>();
    private readonly unsubscribe: () => void;
    private timer: TimerHandle | undefined;
    private nextRoundAt: number | undefined;
    /** Time by which all rounds together were late, in milliseconds. */
    private lateness = 0;
    private isStopped = false;
    private lastContact: number | undefined;

    private constructor(options: GossiperOptions) {
        this.options = options;
        this.view = options.view;
        this.exchange = GossipExchange.create(options);
        this.chooser = ContactChooser.create({
            view: options.view,
            random: options.random,
            fullMeshPeers: options.fullMeshPeers ?? defaultFullMeshPeers,
            fanOut: options.fanOut ?? defaultFanOut,
            pullIntervalMilliseconds: options.pullIntervalMilliseconds ?? defaultPullIntervalMilliseconds,
        });
        this.unsubscribe = this.view.onChange(change => {
            logMemberChange(options.log, change, this.view.getSelf());
            if (change.member.state === MemberState.Suspect) {
                this.chooser.prioritizeSuspect(change.member);
            }
        });
    }

    /** Creates a gossiper that sends nothing before {@link Gossiper.start}. */
    static create(options: GossiperOptions): Gossiper {
        return new Gossiper(options);
    }

    /** Starts the rounds. The first one runs immediately. */
    start(): void {
        this.runRound();
    }

    /** Stops the rounds. Exchanges in flight end by themselves. */
    stop(): void {
        this.isStopped = true;
        this.timer?.cancel();
        this.unsubscribe();
    }

    /** Gets the monotonic time in milliseconds of the last successful exchange with any peer, if there was one. */
    getLastContact(): number | undefined {
        return this.lastContact;
    }

    /** Handles a peer's Gossip call. */
    handleGossip(request: GossipRequest): GossipResponse {
        const now = this.options.clock.getMonotonicTime();
        this.lastContact = now;
        return this.exchange.handleRequest(request, now);
    }

    /** Marks this node as leaving and notifies one round of peers. Resolves when they have answered or failed to. */
    async announceLeaving(): Promise<void> {
        this.view.announceLeaving();
        await Promise.all(this.chooser.choosePeers().map(contact => this.callHeartbeat(contact)));
    }

    private runRound(): void {
        if (this.isStopped) {
            return;
        }
        const now = this.options.clock.getMonotonicTime();
        const lateMilliseconds = this.getCurrentLateness(now);
        this.lateness += lateMilliseconds;
        this.nextRoundAt = undefined;
        // What peers sent while this process was late is read only after this round.
        this.view.postponeDeadlines(lateMilliseconds);
        this.view.advance(now);
        for (const contact of this.chooser.chooseRound(now)) {
            void this.contact(contact);
        }
        const interval = this.options.intervalMilliseconds ?? defaultIntervalMilliseconds;
        const delay = interval * (1 + jitterRatio * (2 * this.options.random() - 1));
        this.nextRoundAt = now + delay;
        this.timer = this.options.clock.setTimer(delay, () => this.runRound());
    }

    /** Gets the time by which the next round is overdue, in milliseconds. */
    private getCurrentLateness(now: number): number {
        return this.nextRoundAt === undefined ? 0 : Math.max(0, now - this.nextRoundAt);
    }

    /** Gets the time by which this process was late so far, in milliseconds. */
    private getLateness(now: number): number {
        return this.lateness + this.getCurrentLateness(now);
    }

    private async contact(contact: Contact): Promise<void> {
        if (this.pending.has(contact.address)) {
            return;
        }
        this.pending.add(contact.address);
        try {
            const isReached = await this.callHeartbeat(contact);
            if (isReached && contact.isPull) {
                await this.callPull(contact);
            }
        }
        finally {
            this.pending.delete(contact.address);
        }
    }

    private async callHeartbeat(contact: Contact): Promise<boolean> {
        const member = contact.nodeId === undefined ? undefined : this.view.getMember(contact.nodeId);
        const request = this.exchange.createHeartbeat(member);
        const sentAt = this.options.clock.getMonotonicTime();
        const latenessBefore = this.getLateness(sentAt);
        let result = await this.options.callGossip(contact.address, request);
        if (result.err && result.val.kind === PeerErrorKind.TimedOut) {
            // The connection has been replaced. A peer that is alive answers over the new one.
            result = await this.options.callGossip(contact.address, request);
        }
        const now = this.options.clock.getMonotonicTime();
        if (result.err) {
            const lateMilliseconds = this.getLateness(now) - latenessBefore;
            const isLate = lateMilliseconds > (now - sentAt) * maximumLateFraction;
            if (contact.nodeId !== undefined && !this.isStopped && isMiss(result.val.kind) && !isLate) {
                this.view.noteMiss(contact.nodeId, now);
            }
            return false;
        }
        this.lastContact = now;
        this.exchange.applyResponse(result.val, contact.address, false, now);
        if (contact.nodeId === undefined) {
            this.view.noteSeedAnswered(contact.address);
        }
        else {
            this.view.noteContact(contact.nodeId);
            this.exchange.recordVersion(contact.nodeId, result.val, now);
        }
        return true;
    }

    private async callPull(contact: Contact): Promise<void> {
        const result = await this.options.callGossip(contact.address, this.exchange.createPull());
        if (result.err) {
            return;
        }
        this.chooser.recordPull();
        this.exchange.applyResponse(result.val, contact.address, true, this.options.clock.getMonotonicTime());
    }
}

/** Checks if an error counts against the peer's health. Others, such as a full queue of this node, do not. */
function isMiss(kind: PeerErrorKind): boolean {
    return kind === PeerErrorKind.TimedOut || kind === PeerErrorKind.Unreachable;
}
