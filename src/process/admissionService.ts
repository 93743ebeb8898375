import type { EndpointState } from "../connection/endpoint/endpointState.ts";
import { Admission } from "../request/admission/admission.ts";
import { CustomerLimits } from "../request/admission/customerLimits.ts";
import { GateCapacities } from "../request/gateCapacities.ts";
import type { Configuration } from "../version/configuration.ts";
import type { Clock } from "./clock.ts";
import type { MembershipView } from "./membership/membershipView.ts";
import { MemberState } from "./membership/memberState.ts";
import type { RandomSource } from "./randomSource.ts";

/** Options of an {@link AdmissionService}. */
interface AdmissionServiceOptions {
    clock: Clock;
    random: RandomSource;
    /** The nodes that share the customers' limits and the endpoints' capacity. */
    view: MembershipView;
    /** Gets the configuration in force. */
    getConfiguration(): Configuration;
    /** Gets the last known state of an endpoint, or undefined if it is unknown. */
    getEndpointState(endpoint: string): EndpointState | undefined;
}

/**
 * Factor by which a node may exceed its even share of the capacity, since callers are distributed unevenly over the
 * nodes.
 */
const capacityHeadroom = 1.5;

/** Decides which requests run on this node, by the capacities of the gates and the limits of the customers. */
export class AdmissionService {
    readonly admission: Admission;
    readonly customerLimits: CustomerLimits;
    readonly capacities: GateCapacities;
    private readonly options: AdmissionServiceOptions;

    private constructor(options: AdmissionServiceOptions) {
        const { clock, random, getConfiguration, getEndpointState, view } = options;
        this.options = options;
        this.customerLimits = CustomerLimits.create({
            getConfiguration,
            clock,
            random,
            getNodeCount: () => this.getNodeCount(),
        });
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
        view.onChange(({ member, previous }) => {
            if (member.state !== previous?.state && hasLeft(member.state)) {
                this.customerLimits.removePeer(member.nodeId);
            }
        });
    }

    /** Creates the service and subscribes it to changes of the membership view. */
    static create(options: AdmissionServiceOptions): AdmissionService {
        return new AdmissionService(options);
    }

    private getConcurrencyLimit(gate: string): number {
        const capacity = this.capacities.getCapacity(gate);
        return Math.min(capacity, Math.ceil(capacity / this.getNodeCount() * capacityHeadroom));
    }

    /** Gets the number of live nodes, including this one. */
    private getNodeCount(): number {
        return Math.max(1, this.options.view.getAliveMembers().length);
    }
}

/** Checks if a node in this state accepts no more requests. */
function hasLeft(state: MemberState): boolean {
    return state === MemberState.Leaving || state === MemberState.Dead;
}
