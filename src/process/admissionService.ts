import type { EndpointState } from "../connection/endpoint/endpointState.ts";
import { Admission } from "../request/admission/admission.ts";
import { CustomerLimits } from "../request/admission/customerLimits.ts";
import { GateCapacities } from "../request/gateCapacities.ts";
import type { Configuration } from "../version/configuration.ts";
import type { Clock } from "./clock.ts";
import type { RandomSource } from "./randomSource.ts";

/** Options of an {@link AdmissionService}. */
interface AdmissionServiceOptions {
    clock: Clock;
    random: RandomSource;
    getConfiguration(): Configuration;
    getEndpointState(endpoint: string): EndpointState | undefined;
    /** Number of live nodes, this one among them. */
    getNodeCount(): number;
}

/** A burst above the even share of the endpoints' places that a node may take, since callers spread unevenly. */
const capacityHeadroom = 1.5;

/** What decides on one node which requests run: gates, their capacities, and the customers' limits. */
export class AdmissionService {
    readonly admission: Admission;
    readonly customerLimits: CustomerLimits;
    readonly capacities: GateCapacities;
    private readonly options: AdmissionServiceOptions;

    private constructor(options: AdmissionServiceOptions) {
        const { clock, random, getConfiguration, getEndpointState, getNodeCount } = options;
        this.options = options;
        this.customerLimits = CustomerLimits.create({ getConfiguration, clock, random, getNodeCount });
        this.capacities = GateCapacities.create({
            clock,
            getConfiguration,
            getEndpointState,
            onGrown: gate => this.admission.admitWaiting(gate),
        });
        this.admission = Admission.create({
            getConfiguration,
            clock,
            random,
            customerLimits: this.customerLimits,
            getConcurrencyLimit: gate => this.getConcurrencyLimit(gate),
        });
    }

    /** Creates the service. */
    static create(options: AdmissionServiceOptions): AdmissionService {
        return new AdmissionService(options);
    }

    private getConcurrencyLimit(gate: string): number {
        const capacity = this.capacities.getCapacity(gate);
        const nodes = Math.max(1, this.options.getNodeCount());
        return Math.min(capacity, Math.ceil(capacity / nodes * capacityHeadroom));
    }
}
