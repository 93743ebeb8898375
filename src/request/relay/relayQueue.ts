import type { Clock, TimerHandle } from "../../process/clock.ts";
import type { EventLog } from "../../process/logging/eventLog.ts";
import { events } from "../../process/logging/events.ts";
import type { RandomSource } from "../../process/randomSource.ts";
import type { StartDecision } from "../admission/start/startDecision.ts";
import { StartLine } from "../admission/start/startLine.ts";
import type { QueuedRelay } from "./queuedRelay.ts";
import type { RelayPlace } from "./relayPlace.ts";

/** Options of a {@link RelayQueue}. */
interface RelayQueueOptions {
    clock: Clock;
    random: RandomSource;
    log: EventLog;
    /** Called with each decision on a request that has just come, and on one that has waited. */
    onDecided?(decision: StartDecision<RelayPlace>["kind"]): void;
    /** Called when a request that waited is started: how long it waited, and was expected to, in milliseconds. */
    onWaited?(milliseconds: number, expectedMilliseconds: number): void;
}

/** A request in the queue. */
interface QueuedWait {
    since: number;
    expectedMilliseconds: number;
}

/** After an answer's time or two, the load is what it was before. */
const busyMilliseconds = 5_000;
/** What changes without a sign, such as the end of a suspicion, is found after this time. */
const longestReviewMilliseconds = 50;

/** Carries out what {@link StartLine} decides on requests for chains, and has it decide again when something has changed. */
export class RelayQueue {
    private readonly options: RelayQueueOptions;
    private readonly line: StartLine<RelayPlace>;
    private timer: TimerHandle | undefined;
    private readonly waits = new Map<QueuedRelay, QueuedWait>();
    private isWoken = false;
    private contendedAt = -Infinity;

    private constructor(options: RelayQueueOptions) {
        this.options = options;
        this.line = StartLine.create(options.random, options.clock.getMonotonicTime());
    }

    /** Creates an empty queue. */
    static create(options: RelayQueueOptions): RelayQueue {
        return new RelayQueue(options);
    }

    /** Has it decided whether a request starts, waits or is turned away; the first and the last are carried out at once. */
    ask(relay: QueuedRelay): void {
        const decision = this.line.decideArrival(relay, this.getTime());
        this.options.onDecided?.(decision.kind);
        if (decision.kind !== "start") {
            this.contendedAt = this.getTime();
        }
        if (decision.kind === "wait") {
            const { requestId } = relay;
            const expectedMilliseconds = Math.round(decision.expectedMilliseconds);
            this.waits.set(relay, { since: this.getTime(), expectedMilliseconds });
            const waiting = this.line.getLength();
            this.options.log.write(events.relayWaits, { request: requestId, expectedMilliseconds, waiting });
            this.scheduleReview();
            return;
        }
        this.carryOut(relay, decision);
    }

    /** Takes a request out, whose caller has gone. */
    remove(relay: QueuedRelay): void {
        this.line.remove(relay);
        this.waits.delete(relay);
    }

    /** Looks at those that wait, soon: room has come free, or endpoints have come or gone. */
    wake(): void {
        if (this.isWoken || this.line.getLength() === 0) {
            return;
        }
        this.isWoken = true;
        this.timer?.cancel();
        this.timer = this.options.clock.setTimer(0, () => this.review());
    }

    /** Counts a request that was started past the queue. */
    noteStart(): void {
        this.line.noteStart();
    }

    /** Counts that a started request has left its chain; see {@link StartLine.noteEnd}. */
    noteEnd(tokens: number, heldMilliseconds: number | undefined): void {
        this.line.noteEnd(tokens, heldMilliseconds, this.getTime());
    }

    /** Notes that nodes contend for room, before any request has to wait for it. */
    noteContention(): void {
        this.contendedAt = this.getTime();
    }

    /** Whether requests had to wait lately, or room was getting scarce, so that nodes contend for it. */
    isBusy(): boolean {
        return this.getTime() - this.contendedAt < busyMilliseconds;
    }

    /** Gets the tokens a second of new requests that come to this node. */
    getDemand(): number {
        return this.line.getDemand(this.getTime());
    }

    private review(): void {
        this.timer = undefined;
        this.isWoken = false;
        for (const { request, decision } of this.line.review(this.getTime())) {
            const relay = request as QueuedRelay;
            this.options.onDecided?.(decision.kind);
            this.noteWait(relay, decision.kind === "start");
            this.carryOut(relay, decision);
        }
        this.scheduleReview();
    }

    private noteWait(relay: QueuedRelay, isStarted: boolean): void {
        const wait = this.waits.get(relay);
        this.waits.delete(relay);
        if (wait !== undefined && isStarted) {
            this.options.onWaited?.(this.getTime() - wait.since, wait.expectedMilliseconds);
        }
    }

    private scheduleReview(): void {
        const now = this.getTime();
        const at = this.line.getNextReview(now);
        if (at === undefined || this.timer !== undefined) {
            return;
        }
        const delay = Math.min(longestReviewMilliseconds, Math.max(1, at - now));
        this.timer = this.options.clock.setTimer(delay, () => this.review());
    }

    private carryOut(relay: QueuedRelay, decision: StartDecision<RelayPlace>): void {
        if (decision.kind === "start") {
            relay.start(decision.place);
        }
        if (decision.kind === "refuse") {
            relay.refuse(decision.cause, decision.retryAfterMilliseconds);
        }
    }

    private getTime(): number {
        return this.options.clock.getMonotonicTime();
    }
}
