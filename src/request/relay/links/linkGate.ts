import type { EventLog } from "../../../process/logging/eventLog.ts";
import { events } from "../../../process/logging/events.ts";
import { peerReportTimeToLiveMilliseconds } from "../../admission/peerReportTimeToLiveMilliseconds.ts";
import type { DataCentreLink } from "./dataCentreLink.ts";

/** Options of a {@link LinkGate}. */
interface LinkGateOptions {
    link: DataCentreLink;
    log: EventLog;
    /** Called when the link is closed or open again. */
    onChange(isClosed: boolean): void;
}

/** A stream of this node that was sent over the link and has no event yet. */
interface WaitingStream {
    readonly sentAt: number;
    /** Expected time to its first event, in milliseconds. */
    readonly expectedMilliseconds: number;
}

/** Last report of a peer on its waiting streams. */
interface PeerWait {
    receivedAt: number;
    waiting: number;
    longestWaitMilliseconds: number;
}

/** Why a link is not open. */
interface LinkClosure {
    /** Monotonic time in milliseconds. */
    closedAt: number;
    /** The node whose streams wait; "self" for this one. */
    reporter: string;
}

/** Whether new streams may use a link. */
type GateState = "open" | "closed" | "trial";

/** State of a link for operators. */
interface LinkGateStatus {
    state: GateState;
    /** Time since the link was closed, in milliseconds; undefined while it is open. */
    closedMilliseconds: number | undefined;
    /** The node whose streams closed it; "self" for this one. */
    reporter: string | undefined;
}

/** Time beyond the expected one after which a stream without an event counts as waiting at the link. */
const toleranceMilliseconds = 300;

/**
 * Closes a link between data centres for new streams while streams wait at it.
 *
 * It handles a link that is slower than configured, or that has more traffic than the nodes know of: engines queue the prompts at the
 * link without reporting a stall, and the queue never clears while new prompts keep it full. After the last waiting stream has
 * ended, each node tries one stream at a time until events arrive again.
 */
export class LinkGate {
    private readonly options: LinkGateOptions;
    private readonly streams = new Set<WaitingStream>();
    private readonly peers = new Map<string, PeerWait>();
    private state: GateState = "open";
    /** The last closure; undefined while the link is open. */
    private closure: LinkClosure | undefined;
    /** Latest time at which a stream was sent that has an event now. */
    private answeredUntil = -Infinity;
    /** Expected time to the first event of peers' streams, as last given. */
    private peerExpectedMilliseconds = Infinity;

    private constructor(options: LinkGateOptions) {
        this.options = options;
    }

    /** Creates the gate of a link at which no streams wait. */
    static create(options: LinkGateOptions): LinkGate {
        return new LinkGate(options);
    }

    /** Adds a stream that has been sent over the link. */
    add(expectedMilliseconds: number, now: number): WaitingStream {
        const stream = { sentAt: now, expectedMilliseconds };
        this.streams.add(stream);
        return stream;
    }

    /** Removes a stream whose first event has arrived, which shows that the link works. */
    removeAnswered(stream: WaitingStream, now: number): void {
        this.streams.delete(stream);
        this.answeredUntil = Math.max(this.answeredUntil, stream.sentAt);
        // Streams of peers that still wait keep the link closed. It would otherwise open and close with each event.
        this.update(now, this.peerExpectedMilliseconds);
        if (this.state === "trial") {
            this.change("open", { longestWaitMilliseconds: 0, waiting: 0, reporter: "" }, now);
        }
    }

    /** Removes a stream that has ended without an event. The link is closed if it had waited for too long. */
    removeUnanswered(stream: WaitingStream, now: number): void {
        this.update(now, Infinity);
        this.streams.delete(stream);
    }

    /** Removes a stream that turned out to wait for something else than the link. */
    removeUnrelated(stream: WaitingStream): void {
        this.streams.delete(stream);
    }

    /** Applies a peer's report. */
    applyReport(peerId: string, waiting: number, longestWaitMilliseconds: number, now: number): void {
        if (waiting === 0) {
            this.peers.delete(peerId);
            return;
        }
        this.peers.set(peerId, { receivedAt: now, waiting, longestWaitMilliseconds });
    }

    /** Checks if a stream may be queued at the link: a link passes prompts in order, so an answer to a later one shows that it isn't. */
    isQueued({ sentAt }: WaitingStream): boolean {
        return sentAt >= this.answeredUntil;
    }

    /** Gets the number of this node's streams that were sent over the link and have no event yet. */
    getWaitingCount(): number {
        return this.streams.size;
    }

    /** Gets the time for which the oldest of these streams has waited, in milliseconds. */
    getLongestWait(now: number): number {
        let longest = 0;
        for (const stream of this.streams) {
            longest = this.isQueued(stream) ? Math.max(longest, now - stream.sentAt) : longest;
        }
        return longest;
    }

    /**
     * Gets the state of the link.
     * @param now - Monotonic time in milliseconds.
     * @param expectedMilliseconds - Expected time to the first event of peers' streams.
     */
    getState(now: number, expectedMilliseconds: number): GateState {
        this.peerExpectedMilliseconds = expectedMilliseconds;
        this.update(now, expectedMilliseconds);
        return this.state;
    }

    /** Gets the time for which the oldest stream that closes the link has waited, in milliseconds; 0 if none does. */
    getClosingWait(now: number, expectedMilliseconds: number): number {
        return this.findOverdue(now, expectedMilliseconds)?.longestWaitMilliseconds ?? 0;
    }

    /** Gets the state as of the last request or event, without changing it. */
    getStatus(now: number): LinkGateStatus {
        const { state, closure } = this;
        const closedMilliseconds = closure === undefined ? undefined : Math.round(now - closure.closedAt);
        return { state, closedMilliseconds, reporter: closure?.reporter };
    }

    private update(now: number, expectedMilliseconds: number): void {
        const overdue = this.findOverdue(now, expectedMilliseconds);
        if (overdue !== undefined) {
            if (this.state !== "closed") {
                this.change("closed", overdue, now);
            }
        }
        else if (this.state === "closed") {
            this.state = "trial";
        }
    }

    private findOverdue(now: number, expectedMilliseconds: number) {
        let waiting = this.streams.size;
        for (const stream of this.streams) {
            const isOverdue = now - stream.sentAt > stream.expectedMilliseconds + toleranceMilliseconds;
            if (isOverdue && this.isQueued(stream)) {
                return { waiting, longestWaitMilliseconds: this.getLongestWait(now), reporter: "self" };
            }
        }
        for (const [reporter, peer] of this.peers) {
            if (now - peer.receivedAt > peerReportTimeToLiveMilliseconds) {
                this.peers.delete(reporter);
                continue;
            }
            waiting += peer.waiting;
            if (peer.longestWaitMilliseconds > expectedMilliseconds + toleranceMilliseconds) {
                return { waiting, longestWaitMilliseconds: peer.longestWaitMilliseconds, reporter };
            }
        }
        return undefined;
    }

    private change(
        state: "open" | "closed",
        { waiting, longestWaitMilliseconds, reporter }: Omit<PeerWait, "receivedAt"> & { reporter: string; },
        now: number,
    ): void {
        this.state = state;
        this.closure = state === "closed" ? { closedAt: now, reporter } : undefined;
        const { link: { from, to }, log, onChange } = this.options;
        if (state === "closed") {
            const longestWait = Math.round(longestWaitMilliseconds);
            log.write(events.linkClosed, { from, to, waiting, longestWaitMilliseconds: longestWait, reporter });
        }
        else {
            log.write(events.linkOpen, { from, to });
        }
        onChange(state === "closed");
    }
}
