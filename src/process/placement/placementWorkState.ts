import type { Clock } from "../clock.ts";
import { decideLeaseAction } from "./decideLeaseAction.ts";
import type { LeaseAction } from "./leaseAction.ts";

/** Options of {@link PlacementWorkState}. */
interface PlacementWorkStateOptions {
    clock: Clock;
    /** Called when there is something to order, so that the lease is acquired at once. */
    onWork(): void;
    /** Called at the first order after there was nothing to order, with the time since then in milliseconds. */
    onFirstOrder(milliseconds: number): void;
}

/** Tracks since when there has been something to order. */
export class PlacementWorkState {
    private readonly options: PlacementWorkStateOptions;
    /** Monotonic time in milliseconds since which there has been something to order; undefined if there is nothing. */
    private workSince: number | undefined;
    /** Monotonic time in milliseconds at which there was something to order last. */
    private lastWorkAt: number;
    /** Whether an order was sent since there has been something to order. */
    private hasOrdered = false;

    private constructor(options: PlacementWorkStateOptions) {
        this.options = options;
        this.workSince = options.clock.getMonotonicTime();
        this.lastWorkAt = this.workSince;
    }

    /** Creates a state in which there is something to order, since no plan is known yet. */
    static create(options: PlacementWorkStateOptions): PlacementWorkState {
        return new PlacementWorkState(options);
    }

    /** Decides what to do with the lease, see {@link decideLeaseAction}. */
    getLeaseAction(isHolder: boolean, rank: number): LeaseAction {
        const { workSince, lastWorkAt } = this;
        const now = this.options.clock.getMonotonicTime();
        return decideLeaseAction({ isHolder, workSince, lastWorkAt, rank, now });
    }

    /** Records whether there is something to order. */
    update(hasWork: boolean): void {
        const now = this.options.clock.getMonotonicTime();
        const isNew = hasWork && this.workSince === undefined;
        this.hasOrdered &&= hasWork;
        this.workSince = hasWork ? this.workSince ?? now : undefined;
        if (hasWork) {
            this.lastWorkAt = now;
        }
        if (isNew) {
            this.options.onWork();
        }
    }

    /** Records that an order is sent. */
    recordOrder(): void {
        if (!this.hasOrdered) {
            this.hasOrdered = true;
            const now = this.options.clock.getMonotonicTime();
            this.options.onFirstOrder(now - (this.workSince ?? now));
        }
    }
}
