import type { Clock, TimerHandle } from "../../../process/clock.ts";
import type { EventLog } from "../../../process/logging/eventLog.ts";
import { events } from "../../../process/logging/events.ts";
import { ProcessorAccount } from "../../../process/loop/processorAccount.ts";
import { ProcessorCause } from "../../../process/loop/processorCause.ts";
import type { RandomSource } from "../../../process/randomSource.ts";
import type { StartDecision } from "../../admission/start/startDecision.ts";
import { StartQueue } from "../../admission/start/startQueue.ts";
import type { ReservedChain } from "../chains/reservedChain.ts";
import type { QueuedRelay } from "./queuedRelay.ts";
import { RankReserve } from "./rankReserve.ts";
import { RecentRefusals } from "./recentRefusals.ts";

/** What happens to a request of a service that has several ranks. */
type RankOutcome = "asked" | "admitted" | "queued" | "refused";

/** Options of a {@link RelayQueue}. */
interface RelayQueueOptions {
    clock: Clock;
    random: RandomSource;
    log: EventLog;
    /** Called with each decision on a request, both on its arrival and after it waited. */
    onDecided?(decision: StartDecision<ReservedChain>["kind"]): void;
    /** Called when a request that waited is started, with its actual and its expected wait. */
    onWaited?(milliseconds: number, expectedMilliseconds: number): void;
    /** Called with each arrival of a request of a service that has several ranks, and with each decision on it. */
    onRankOutcome?(rank: number, outcome: RankOutcome): void;
    /** Called at most once a second for each rank with the fraction of its demand that all nodes admit, 0 to 1. */
    onAdmittedShare?(rank: number, share: number): void;
}

/** A request in the queue. */
interface QueuedWait {
    since: number;
    expectedMilliseconds: number;
}

const rankOutcomes = { start: "admitted", wait: "queued", refuse: "refused" } as const;
/** How long the queue counts as busy after contention. The load has changed back after one or two times the duration of an answer. */
const contentionMilliseconds = 5_000;
/** Maximum time between reviews. Finds changes that cause no notification, such as the end of a suspicion. */
const maximumReviewDelayMilliseconds = 50;

/** Queue of requests for chains. Executes the decisions of {@link StartQueue} and reviews them when something has changed. */
export class RelayQueue {
    /** What lower ranks leave free for higher ones. */
    readonly rankReserve: RankReserve;
    /** The refusals of the last seconds. */
    readonly refusals = RecentRefusals.create();
    private readonly options: RelayQueueOptions;
    private readonly startQueue: StartQueue<ReservedChain>;
    private timer: TimerHandle | undefined;
    private readonly waits = new Map<QueuedRelay, QueuedWait>();
    private isReviewDue = false;
    private contendedAt = -Infinity;

    private constructor(options: RelayQueueOptions) {
        this.options = options;
        this.rankReserve = RankReserve.create(options);
        this.startQueue = StartQueue.create(options.random);
    }

    /** Creates an empty queue. */
    static create(options: RelayQueueOptions): RelayQueue {
        return new RelayQueue(options);
    }

    /** Starts, queues or rejects a request. Starts and rejections take effect immediately. */
    submit(relay: QueuedRelay): void {
        if (relay.isRanked === true) {
            this.options.onRankOutcome?.(relay.rank, "asked");
        }
        const decision = this.startQueue.decideArrival(relay, this.getTime());
        this.noteDecision(relay, decision);
        if (decision.kind !== "start") {
            this.contendedAt = this.getTime();
        }
        if (decision.kind === "wait") {
            const { requestId } = relay;
            const expectedMilliseconds = Math.round(decision.expectedMilliseconds);
            this.waits.set(relay, { since: this.getTime(), expectedMilliseconds });
            const waiting = this.startQueue.getLength();
            this.options.log.write(events.relayQueued, { request: requestId, expectedMilliseconds, waiting });
            this.scheduleReview();
            return;
        }
        this.execute(relay, decision);
    }

    /** Removes a request whose caller has disconnected. */
    remove(relay: QueuedRelay): void {
        this.startQueue.remove(relay);
        this.waits.delete(relay);
    }

    /** Schedules an immediate review of the waiting requests, after memory became free or the endpoints changed. */
    wake(): void {
        this.startQueue.noteCapacityChange();
        if (this.isReviewDue || this.startQueue.getLength() === 0) {
            return;
        }
        this.isReviewDue = true;
        this.timer?.cancel();
        this.timer = this.options.clock.setTimer(0, () => this.review());
    }

    /** Ends what is known of exhausted capacity, before a {@link wake} that follows. */
    noteCapacityChange(): void {
        this.startQueue.noteCapacityChange();
    }

    /** Refuses the waiting requests that can't be served any more, after endpoints have asked for a pause or are leaving. */
    refuseUnservable(): void {
        for (const { request, decision } of this.startQueue.reviewServability()) {
            this.endWaiting(request as QueuedRelay, decision);
        }
    }

    /** Refuses all waiting requests, before this node ends. Returns their number. */
    refuseAll(): number {
        const refused = this.startQueue.refuseAll();
        for (const { request, decision } of refused) {
            this.endWaiting(request as QueuedRelay, decision);
        }
        return refused.length;
    }

    /** Counts a request that was started without the queue. */
    noteStart(): void {
        this.startQueue.recordStart();
    }

    /** Records that a started request no longer uses its chain. See {@link StartQueue.recordEnd}. */
    noteEnd(tokens: number, heldMilliseconds: number | undefined): void {
        this.startQueue.recordEnd(tokens, heldMilliseconds, this.getTime());
    }

    /** Records that nodes contend for memory, before any request has to wait. */
    noteContention(): void {
        this.contendedAt = this.getTime();
    }

    /** Checks if nodes contend for memory, because requests had to wait recently or free memory was becoming scarce. */
    isContended(): boolean {
        return this.getTime() - this.contendedAt < contentionMilliseconds;
    }

    /** Gets the rate of new requests at this node, in tokens per second. */
    getDemand(): number {
        return this.startQueue.getDemand(this.getTime());
    }

    /** Gets the mean time for which a request holds its chain, in milliseconds; undefined before the first request has ended. */
    getMeanRunMilliseconds(): number | undefined {
        return this.startQueue.getMeanRunMilliseconds();
    }

    private review(): void {
        this.timer = undefined;
        this.isReviewDue = false;
        const reviewed = ProcessorAccount.ofProcess.run(
            ProcessorCause.QueueReview,
            () => this.startQueue.review(this.getTime()),
        );
        for (const { request, decision } of reviewed) {
            this.endWaiting(request as QueuedRelay, decision);
        }
        this.scheduleReview();
    }

    private endWaiting(relay: QueuedRelay, decision: StartDecision<ReservedChain>): void {
        this.noteDecision(relay, decision);
        this.endWait(relay, decision.kind === "start");
        this.execute(relay, decision);
    }

    private noteDecision({ rank, isRanked }: QueuedRelay, { kind }: StartDecision<ReservedChain>): void {
        this.options.onDecided?.(kind);
        if (isRanked === true) {
            this.options.onRankOutcome?.(rank, rankOutcomes[kind]);
        }
    }

    private endWait(relay: QueuedRelay, isStarted: boolean): void {
        const wait = this.waits.get(relay);
        this.waits.delete(relay);
        if (wait !== undefined && isStarted) {
            this.options.onWaited?.(this.getTime() - wait.since, wait.expectedMilliseconds);
        }
    }

    private scheduleReview(): void {
        if (this.timer !== undefined) {
            return;
        }
        const now = this.getTime();
        const at = this.startQueue.getNextReview(now);
        if (at === undefined) {
            return;
        }
        const delay = Math.min(maximumReviewDelayMilliseconds, Math.max(1, at - now));
        this.timer = this.options.clock.setTimer(delay, () => this.review());
    }

    private execute(relay: QueuedRelay, decision: StartDecision<ReservedChain>): void {
        if (decision.kind === "start") {
            relay.start(decision.reservation);
        }
        if (decision.kind === "refuse") {
            relay.refuse(decision.cause, decision.retryAfterMilliseconds, decision.bound);
        }
    }

    private getTime(): number {
        return this.options.clock.getMonotonicTime();
    }
}
