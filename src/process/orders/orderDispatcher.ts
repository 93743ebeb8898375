import type { TimerHandle } from "../clock.ts";
import { FencedLease } from "../leases/fencedLease.ts";
import { events } from "../logging/events.ts";
import type { OrderDispatcherOptions } from "./orderDispatcherOptions.ts";
import { OrderTenure } from "./orderTenure.ts";

/** The right to give orders, and the work that goes with it. */
interface Duty {
    lease: FencedLease;
    tenure: OrderTenure;
}

const leaseKey = "foxlead/leases/orders";
const roundMilliseconds = 1_000;
const leaseMilliseconds = 4_000;
/** Longer than a call to an engine may take (2 s), so that no order arrives after its sender has given it up. */
const orderMilliseconds = 3_000;

/**
 * Orders engines to load ranges of layers that too few engines hold. Every node runs one; the duty's owner seeks the
 * fenced lease, and only its holder plans and sends.
 */
export class OrderDispatcher {
    private readonly options: OrderDispatcherOptions;
    private duty: Duty | undefined;
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

    /** Starts the rounds with one at once. A round that takes longer delays the next one. */
    start(): void {
        if (this.isStopped) {
            return;
        }
        this.round ??= this.runRound().finally(() => {
            this.round = undefined;
        });
        this.timer = this.options.clock.setTimer(roundMilliseconds, () => this.start());
    }

    /** Stops for good: waits for the orders on their way, then releases the lease. */
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
            await this.duty.tenure.runRound();
        }
        catch (error) {
            this.options.log.write(events.orderRoundFailed, { reason: String(error) });
        }
    }

    private beginDuty(): Duty {
        const { store, clock, random, log, nodeId } = this.options;
        const lease = FencedLease.create({
            store,
            clock,
            random,
            log,
            key: leaseKey,
            holder: nodeId,
            timeToLiveMilliseconds: leaseMilliseconds,
            longestOrderMilliseconds: orderMilliseconds,
        });
        lease.start();
        return { lease, tenure: OrderTenure.create(this.options, lease) };
    }

    private async endDuty(): Promise<void> {
        const { duty } = this;
        this.duty = undefined;
        await duty?.lease.stop();
    }
}
