import type { PeerError } from "../../connection/peer/peerError.ts";
import { PeerErrorKind } from "../../connection/peer/peerErrorKind.ts";
import type { Result } from "../../result.ts";
import type { GossipRequest, GossipResponse } from "../../wire/generated/foxlead/peer/v1/peer_pb.ts";
import type { Clock, TimerHandle } from "../clock.ts";
import type { EventLog } from "../logging/eventLog.ts";
import type { RandomSource } from "../randomSource.ts";
import { CallAllowance } from "./callAllowance.ts";
import type { Contact } from "./contact.ts";
import { ContactChooser } from "./contactChooser.ts";
import { GossipExchange } from "./gossipExchange.ts";
import type { GossipPayloads } from "./gossipPayloads.ts";
import { logMemberChange } from "./logMemberChange.ts";
import type { MembershipView } from "./membershipView.ts";
import { MemberState } from "./memberState.ts";
import { TurnMeter } from "./turnMeter.ts";

const defaultIntervalMilliseconds = 500;
const defaultFullMeshPeers = 8;
const defaultFanOut = 3;
const defaultPullIntervalMilliseconds = 60_000;
/** Largest jitter of a round, as a share of the interval. */
const jitterRatio = 0.2;
/** A tenth of a call's default timeout, since a call over a new connection takes several turns of the event loop. */
const defaultMaximumTurnMilliseconds = 100;

/** Options of a {@link Gossiper}. */
interface GossiperOptions {
    view: MembershipView;
    payloads: GossipPayloads;
    clock: Clock;
    random: RandomSource;
    log: EventLog;
    /** Calls Gossip at an address. The call must have its own timeout, multiplied by the given factor. */
    callGossip(
        address: string,
        request: GossipRequest,
        timeoutFactor: number,
    ): Promise<Result<GossipResponse, PeerError>>;
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
    /** Longest turn of the event loop in milliseconds with which calls are answered in time. Default 100, a tenth of their timeout. */
    maximumTurnMilliseconds?: number;
    /** Most membership changes in one message. Default 8. */
    piggybackLimit?: number;
    /** Most bytes of endpoint and demand records in one message. Default 256. */
    payloadBudgetBytes?: number;
}

/** Result of a call, and whether this process was too late to read an answer. */
interface MeasuredCall {
    result: Result<GossipResponse, PeerError>;
    isLate: boolean;
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
    private readonly turns: TurnMeter;
    private readonly allowance: CallAllowance;
    private readonly pending = new Set<string>();
    private readonly unsubscribe: () => void;
    private timer: TimerHandle | undefined;
    private nextRoundAt: number | undefined;
    /** Time in long turns up to the last round, in milliseconds. */
    private longMilliseconds = 0;
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
        const maximumTurnMilliseconds = options.maximumTurnMilliseconds ?? defaultMaximumTurnMilliseconds;
        this.turns = TurnMeter.create(options.clock, maximumTurnMilliseconds);
        this.allowance = CallAllowance.create(maximumTurnMilliseconds);
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
        // What peers sent while this process was late is read only after this round, and in long turns few calls get through.
        const lateMilliseconds = this.takeLongMilliseconds() * this.allowance.getPostponedFraction();
        this.view.postponeDeadlines(Math.max(now - (this.nextRoundAt ?? now), lateMilliseconds));
        this.view.advance(now);
        for (const contact of this.chooser.chooseRound(now)) {
            void this.contact(contact);
        }
        const interval = this.options.intervalMilliseconds ?? defaultIntervalMilliseconds;
        const delay = interval * (1 + jitterRatio * (2 * this.options.random() - 1));
        this.nextRoundAt = now + delay;
        this.timer = this.options.clock.setTimer(delay, () => this.runRound());
    }

    /** Gets the time that went into long turns of the event loop since the last round, in milliseconds. */
    private takeLongMilliseconds(): number {
        const total = this.turns.getLongMilliseconds();
        const milliseconds = total - this.longMilliseconds;
        this.longMilliseconds = total;
        return milliseconds;
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
        const { result, isLate } = await this.callTwice(contact.address, request);
        const now = this.options.clock.getMonotonicTime();
        if (result.err) {
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

    /** Calls a peer, a second time if the first call times out, and checks if this process was too late to read an answer. */
    private async callTwice(address: string, request: GossipRequest): Promise<MeasuredCall> {
        const { callGossip, clock } = this.options;
        const sentAt = clock.getMonotonicTime();
        const measurement = this.turns.start();
        const factor = this.allowance.getFactor();
        let attemptCount = 1;
        try {
            let result = await callGossip(address, request, factor);
            if (result.err && result.val.kind === PeerErrorKind.TimedOut) {
                // The connection has been replaced. A peer that is alive answers over the new one.
                attemptCount = 2;
                result = await callGossip(address, request, factor);
            }
            const isLate = this.allowance.noteEnd({
                elapsedMilliseconds: clock.getMonotonicTime() - sentAt,
                longMilliseconds: measurement.getLongMilliseconds(),
                turnCount: measurement.getTurnCount(),
                attemptCount,
                factor,
                isAnswered: result.ok,
                isTimedOut: result.err && result.val.kind === PeerErrorKind.TimedOut,
            });
            return { result, isLate };
        }
        finally {
            measurement.end();
        }
    }

    private async callPull(contact: Contact): Promise<void> {
        const factor = this.allowance.getFactor();
        const result = await this.options.callGossip(contact.address, this.exchange.createPull(), factor);
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
