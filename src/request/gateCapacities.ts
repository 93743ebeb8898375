import type { EndpointState } from "../connection/endpoint/endpointState.ts";
import type { Clock, TimerHandle } from "../process/clock.ts";
import type { Configuration } from "../version/configuration.ts";
import { getGateCapacity } from "./getGateCapacity.ts";

/** Options of {@link GateCapacities}. */
interface GateCapacitiesOptions {
    clock: Clock;
    getConfiguration(): Configuration;
    getEndpointState(endpoint: string): EndpointState | undefined;
    /** Called when the capacity of a gate has increased, so that more waiting requests may start. */
    onGrown(gate: string): void;
}

/** Not shorter, since computing the capacity of one gate takes about 0.3 ms at 1,200 engines and every model has a gate. */
const refreshMilliseconds = 500;

/** Caches the capacities of the gates that have been requested, and refreshes them periodically. */
export class GateCapacities {
    private readonly options: GateCapacitiesOptions;
    private readonly capacities = new Map<string, number>();
    private timer: TimerHandle | undefined;

    private constructor(options: GateCapacitiesOptions) {
        this.options = options;
    }

    /** Creates an empty cache that is not refreshed until {@link GateCapacities.start}. */
    static create(options: GateCapacitiesOptions): GateCapacities {
        return new GateCapacities(options);
    }

    /** Refreshes the capacities immediately and then periodically. */
    start(): void {
        for (const [gate, previous] of this.capacities) {
            const capacity = this.compute(gate);
            this.capacities.set(gate, capacity);
            if (capacity > previous) {
                this.options.onGrown(gate);
            }
        }
        this.timer = this.options.clock.setTimer(refreshMilliseconds, () => this.start());
    }

    /** Stops the periodic refresh. */
    stop(): void {
        this.timer?.cancel();
    }

    /**
     * Gets the concurrency of a gate over all nodes, in requests; may be up to 500 ms old.
     * @param gate - Name of the gate, see `getGateName`.
     */
    getCapacity(gate: string): number {
        const cached = this.capacities.get(gate);
        if (cached !== undefined && cached > 0) {
            return cached;
        }
        const capacity = this.compute(gate);
        this.capacities.set(gate, capacity);
        return capacity;
    }

    private compute(gate: string): number {
        const { getConfiguration, getEndpointState } = this.options;
        return getGateCapacity(getConfiguration(), gate, getEndpointState);
    }
}
