import type { Clock, TimerHandle } from "../../process/clock.ts";
import type { QueuedRelay } from "./queuedRelay.ts";

/** Room comes free as answers end, every few milliseconds under load. */
const pollMilliseconds = 25;

/** Requests that wait for a chain with room, by rank and then by arrival. */
export class RelayQueue {
    private readonly clock: Clock;
    private waiting: QueuedRelay[] = [];
    private timer: TimerHandle | undefined;

    private constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Creates an empty queue. */
    static create(clock: Clock): RelayQueue {
        return new RelayQueue(clock);
    }

    /** Whether a request of this rank would have to wait behind others. */
    hasBefore(priority: number): boolean {
        return this.waiting.some(relay => relay.priority <= priority);
    }

    /** Lets a request wait. */
    add(relay: QueuedRelay): void {
        this.waiting.push(relay);
        this.waiting.sort((left, right) => left.priority - right.priority || left.arrivedAt - right.arrivedAt);
        this.timer ??= this.clock.setTimer(pollMilliseconds, () => this.poll());
    }

    /** Takes a request out, whose caller has gone. */
    remove(relay: QueuedRelay): void {
        this.waiting = this.waiting.filter(other => other !== relay);
    }

    private poll(): void {
        this.timer = undefined;
        const now = this.clock.getMonotonicTime();
        const overdue = this.waiting.filter(({ waitsUntil }) => waitsUntil <= now);
        this.waiting = this.waiting.filter(({ waitsUntil }) => waitsUntil > now);
        while (this.waiting[0]?.tryStart() === true) {
            this.waiting.shift();
        }
        for (const relay of overdue) {
            relay.giveUp();
        }
        if (this.waiting.length > 0) {
            this.timer ??= this.clock.setTimer(pollMilliseconds, () => this.poll());
        }
    }
}
