/** The endpoints of a service when they were last checked. */
interface EndpointSnapshot {
    /** Ids of the endpoints, in order. */
    signature: string;
    /** Monotonic time since which the endpoints are unchanged, in milliseconds. */
    since: number;
}

/**
 * Time without changes after which the endpoints count as complete. Endpoints register within about a second of each
 * other, and a plan made from half of them would leave the others unused.
 */
const stabilityMilliseconds = 900;

/**
 * Tracks if the set of endpoints of a service has once been unchanged for long enough to plan from it or to move an
 * endpoint between columns.
 */
export class EndpointStabilityTracker {
    private readonly snapshots = new Map<string, EndpointSnapshot>();
    /** Services whose endpoints have become stable. They stay in the set, so later losses are handled immediately. */
    private readonly stableServices = new Set<string>();

    private constructor() {}

    /** Creates an instance in which no service has stable endpoints. */
    static create(): EndpointStabilityTracker {
        return new EndpointStabilityTracker();
    }

    /** Waits again for the endpoints of each service to become stable. */
    restart(): void {
        this.stableServices.clear();
    }

    /**
     * Records the endpoints of a service and returns whether they are stable.
     * @param service - Name of the service.
     * @param endpoints - Endpoints that are not draining.
     * @param now - Monotonic time in milliseconds.
     */
    update(service: string, endpoints: readonly { id: string; }[], now: number): boolean {
        if (this.stableServices.has(service)) {
            return true;
        }
        const signature = endpoints.map(({ id }) => id).join();
        const snapshot = this.snapshots.get(service);
        if (snapshot?.signature !== signature) {
            this.snapshots.set(service, { signature, since: now });
            return false;
        }
        if (now - snapshot.since < stabilityMilliseconds) {
            return false;
        }
        this.stableServices.add(service);
        return true;
    }
}
