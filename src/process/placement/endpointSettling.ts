/** The endpoints of a service as they were seen last. */
interface SeenEndpoints {
    /** Their ids, in order. */
    signature: string;
    /** Monotonic time in milliseconds since which they are the same. */
    since: number;
}

/** Endpoints register within about a second of each other; a plan from half of them would waste the others. */
const settleMilliseconds = 900;

/** Tells whether the endpoints of a service have stood still long enough, once, to plan from them or to move a holder. */
export class EndpointSettling {
    private readonly seen = new Map<string, SeenEndpoints>();
    /** Services whose endpoints have stood still. Later losses are acted on at once. */
    private readonly settled = new Set<string>();

    private constructor() {}

    /** Creates a record in which no service has settled. */
    static create(): EndpointSettling {
        return new EndpointSettling();
    }

    /** Waits anew for the endpoints of each service. */
    restart(): void {
        this.settled.clear();
    }

    /**
     * Notes the endpoints of a service; whether they have settled.
     * @param service - Name of the service.
     * @param endpoints - Those that stay.
     * @param now - Monotonic time in milliseconds.
     */
    note(service: string, endpoints: readonly { id: string; }[], now: number): boolean {
        if (this.settled.has(service)) {
            return true;
        }
        const signature = endpoints.map(({ id }) => id).join();
        const known = this.seen.get(service);
        if (known?.signature !== signature) {
            this.seen.set(service, { signature, since: now });
            return false;
        }
        if (now - known.since < settleMilliseconds) {
            return false;
        }
        this.settled.add(service);
        return true;
    }
}
