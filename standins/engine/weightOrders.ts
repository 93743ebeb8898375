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

/** Why an order was not obeyed. */
interface OrderError {
    /** HTTP status: 409 for an old fencing number, 400 for a range that the model does not have. */
    status: 400 | 409;
    message: string;
}

/** Obeys orders to load and unload layers. */
export class WeightOrders {
    private readonly options: WeightOrdersOptions;
    private readonly loads = new Set<{ order: EngineOrder; timer: TimerHandle; }>();
    private fencingNumber = 0;

    private constructor(options: WeightOrdersOptions) {
        this.options = options;
    }

    /** Creates an owner of the orders that has seen none. */
    static create(options: WeightOrdersOptions): WeightOrders {
        return new WeightOrders(options);
    }

    /** Gets the highest fencing number seen. */
    getFencingNumber(): number {
        return this.fencingNumber;
    }

    /** Takes an order; a load takes effect once the weights are there. */
    obey(order: EngineOrder): Result<undefined, OrderError> {
        const { checksFencing, modelLayers, heldLayers, clock, weightLoadMilliseconds } = this.options;
        const { fencingNumber, kind, range } = order;
        if (range.end > (modelLayers[range.model] ?? 0)) {
            return Err({ status: 400, message: `Model ${range.model} has no such layers; name layers that it has.` });
        }
        if (checksFencing && fencingNumber < this.fencingNumber) {
            const message = `Fencing number ${fencingNumber} is older than ${this.fencingNumber}; get a newer lease.`;
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
            this.loads.delete(load);
            heldLayers.setHeld(range, true);
        });
        const load = { order, timer };
        this.loads.add(load);
        return Ok(undefined);
    }

    /** Stops all loads. */
    close(): void {
        for (const { timer } of this.loads) {
            timer.cancel();
        }
    }

    /** Stops the loads whose range overlaps with an unload's. */
    private cancelLoads({ range }: EngineOrder): void {
        for (const load of this.loads) {
            const other = load.order.range;
            if (other.model === range.model && other.start < range.end && range.start < other.end) {
                load.timer.cancel();
                this.loads.delete(load);
            }
        }
    }
}
