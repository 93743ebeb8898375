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
    /** The nodes among which limits and places are shared. */
    view: MembershipView;
    /** Gets the configuration in force. */
    getConfiguration(): Configuration;
    /** Gets what is believed of an endpoint; undefined where nothing is known of it. */
    getEndpointState(endpoint: string): EndpointState | undefined;
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

    /** Creates the service; it follows the view from then on. */
    static create(options: AdmissionServiceOptions): AdmissionService {
        return new AdmissionService(options);
    }

    private getConcurrencyLimit(gate: string): number {
        const capacity = this.capacities.getCapacity(gate);
        return Math.min(capacity, Math.ceil(capacity / this.getNodeCount() * capacityHeadroom));
    }

    /** Gets the number of live nodes, this one among them. */
    private getNodeCount(): number {
        return Math.max(1, this.options.view.getAliveMembers().length);
    }
}

/** Whether a node in this state takes no more requests. */
function hasLeft(state: MemberState): boolean {
    return state === MemberState.Leaving || state === MemberState.Dead;
}
