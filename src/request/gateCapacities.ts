import type { EndpointState } from "../connection/endpoint/endpointState.ts";
import type { Clock, TimerHandle } from "../process/clock.ts";
import type { Configuration } from "../version/configuration.ts";
import { getGateCapacity } from "./getGateCapacity.ts";

/** Options of {@link GateCapacities}. */
interface GateCapacitiesOptions {
    clock: Clock;
    getConfiguration(): Configuration;
    getEndpointState(endpoint: string): EndpointState | undefined;
    /** Called when the capacity of a gate that was asked for has grown: more of what waits may start. */
    onGrown(gate: string): void;
}

/** Working out one gate takes about 0.3 ms at 1,200 engines, and there is a gate a model. */
const refreshMilliseconds = 500;

/** Keeps the capacities of the gates that were asked for, worked out anew a few times a second. */
export class GateCapacities {
    private readonly options: GateCapacitiesOptions;
    private readonly capacities = new Map<string, number>();
    private timer: TimerHandle | undefined;

    private constructor(options: GateCapacitiesOptions) {
        this.options = options;
    }

    /** Creates the capacities; they are not refreshed before {@link GateCapacities.start}. */
    static create(options: GateCapacitiesOptions): GateCapacities {
        return new GateCapacities(options);
    }

    /** Starts to refresh. */
    start(): void {
        for (const [gate, known] of this.capacities) {
            const capacity = this.compute(gate);
            this.capacities.set(gate, capacity);
            if (capacity > known) {
                this.options.onGrown(gate);
            }
        }
        this.timer = this.options.clock.setTimer(refreshMilliseconds, () => this.start());
    }

    /** Stops refreshing. */
    stop(): void {
        this.timer?.cancel();
    }

    /**
     * Gets how many requests pass a gate at the same time over all nodes; at most 500 ms old.
     * @param gate - Name of the gate, see `getGateName`.
     */
    getCapacity(gate: string): number {
        const known = this.capacities.get(gate);
        if (known !== undefined && known > 0) {
            return known;
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
