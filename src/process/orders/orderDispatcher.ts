import type { TimerHandle } from "../clock.ts";
import { FencedLease } from "../leases/fencedLease.ts";
import { events } from "../logging/events.ts";
import type { OrderDispatcherOptions } from "./orderDispatcherOptions.ts";
import { OrderReconciler } from "./orderReconciler.ts";

/** The lease and the state that exist while this node owns the duty. */
interface OwnedDuty {
    lease: FencedLease;
    reconciler: OrderReconciler;
}

const leaseKey = "foxlead/leases/orders";
const roundIntervalMilliseconds = 1_000;
const leaseTimeToLiveMilliseconds = 4_000;
/**
 * Longer than the timeout of a call to an engine (2 s), so that no order arrives after its sender has given up on it.
 */
const longestOrderMilliseconds = 3_000;

/**
 * Orders engines to load ranges of layers that too few engines hold. Every node runs a dispatcher. The node that owns
 * the duty tries to acquire the fenced lease, and only the holder of the lease plans and sends orders.
 */
export class OrderDispatcher {
    private readonly options: OrderDispatcherOptions;
    private duty: OwnedDuty | undefined;
    private round: Promise<void> | undefined;
    private timer: TimerHandle | undefined;
    private isStopped = false;

    private constructor(options: OrderDispatcherOptions) {
        this.options = options;
    }

    /** Creates a dispatcher that does nothing before {@link start}. */
    static create(options: OrderDispatcherOptions): OrderDispatcher {
        return new OrderDispatcher(options);
    }

    /** Runs a round immediately and then periodically. Rounds do not overlap; one that takes longer delays the next. */
    start(): void {
        if (this.isStopped) {
            return;
        }
        this.round ??= this.runRound().finally(() => {
            this.round = undefined;
        });
        this.timer = this.options.clock.setTimer(roundIntervalMilliseconds, () => this.start());
    }

    /** Stops permanently: waits for orders in flight, then releases the lease. */
    async stop(): Promise<void> {
        this.isStopped = true;
        this.timer?.cancel();
        await this.round;
        await this.endDuty();
    }

    private async runRound(): Promise<void> {
        try {
            if (!this.options.isDutyOwner()) {
                await this.endDuty();
                return;
            }
            this.duty ??= this.beginDuty();
            await this.duty.reconciler.runRound();
        }
        catch (error) {
            this.options.log.write(events.orderRoundFailed, { reason: String(error) });
        }
    }

    private beginDuty(): OwnedDuty {
        const { store, clock, random, log, nodeId } = this.options;
        const lease = FencedLease.create({
            store,
            clock,
            random,
            log,
            key: leaseKey,
            holder: nodeId,
            timeToLiveMilliseconds: leaseTimeToLiveMilliseconds,
            longestOrderMilliseconds,
        });
        lease.start();
        return { lease, reconciler: OrderReconciler.create(this.options, lease) };
    }

    private async endDuty(): Promise<void> {
        const { duty } = this;
        this.duty = undefined;
        await duty?.lease.stop();
    }
}
