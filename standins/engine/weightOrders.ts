import type { EngineOrder } from "../../src/connection/endpoint/engineProtocol.ts";
import type { Clock, TimerHandle } from "../../src/process/clock.ts";
import { Err, Ok, type Result } from "../../src/result.ts";
import type { HeldLayers } from "./heldLayers.ts";

/** Options of {@link WeightOrders}. */
interface WeightOrdersOptions {
    clock: Clock;
    heldLayers: HeldLayers;
    modelLayers: Record<string, number>;
    checksFencing: boolean;
    weightLoadMilliseconds: number;
}

/** Reason why an order was refused. */
interface OrderError {
    /** HTTP status: 409 for an old fencing number, 400 for layers that the model does not have. */
    status: 400 | 409;
    message: string;
}

/** Executes orders to load and unload layers. */
export class WeightOrders {
    private readonly options: WeightOrdersOptions;
    private readonly pendingLoads = new Set<{ order: EngineOrder; timer: TimerHandle; }>();
    private fencingNumber = 0;

    private constructor(options: WeightOrdersOptions) {
        this.options = options;
    }

    /** Creates an executor without any orders. */
    static create(options: WeightOrdersOptions): WeightOrders {
        return new WeightOrders(options);
    }

    /** Gets the highest fencing number of the accepted orders. */
    getFencingNumber(): number {
        return this.fencingNumber;
    }

    /** Executes an order. A load takes effect when the weights are loaded. */
    execute(order: EngineOrder): Result<undefined, OrderError> {
        const { checksFencing, modelLayers, heldLayers, clock, weightLoadMilliseconds } = this.options;
        const { fencingNumber, kind, range } = order;
        if (range.end > (modelLayers[range.model] ?? 0)) {
            return Err({
                status: 400,
                message: `Model ${range.model} does not have these layers. Use layers of the model.`,
            });
        }
        if (checksFencing && fencingNumber < this.fencingNumber) {
            const message =
                `Fencing number ${fencingNumber} is older than ${this.fencingNumber}. Acquire a newer lease.`;
            return Err({ status: 409, message });
        }
        this.fencingNumber = Math.max(fencingNumber, this.fencingNumber);
        if (kind === "unload") {
            this.cancelLoads(order);
            heldLayers.setHeld(range, false);
            return Ok(undefined);
        }
        if (heldLayers.hasRange(range)) {
            return Ok(undefined);
        }
        const timer = clock.setTimer(weightLoadMilliseconds, () => {
            this.pendingLoads.delete(load);
            heldLayers.setHeld(range, true);
        });
        const load = { order, timer };
        this.pendingLoads.add(load);
        return Ok(undefined);
    }

    /** Cancels all pending loads. */
    close(): void {
        for (const { timer } of this.pendingLoads) {
            timer.cancel();
        }
    }

    /** Cancels the pending loads whose range overlaps the range of an unload order. */
    private cancelLoads({ range }: EngineOrder): void {
        for (const load of this.pendingLoads) {
            const other = load.order.range;
            if (other.model === range.model && other.start < range.end && range.start < other.end) {
                load.timer.cancel();
                this.pendingLoads.delete(load);
            }
        }
    }
}
