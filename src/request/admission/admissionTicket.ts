/** Options of {@link AdmissionTicket}. */
interface AdmissionTicketOptions {
    customer: string;
    /** Name of the gate. */
    gate: string;
    /** Priority of the customer at the engines; higher priorities go first. */
    priority: number;
    /** Time between arrival and admission. */
    queuedMilliseconds: number;
    /** Called at most once, with the tokens that the request consumed; 0 if it did not run. */
    onRelease: (tokens: number) => void;
}

/**
 * The right to run one request. It occupies a slot of its gate's concurrency limit until it is released, which its owner has
 * to do when the run has ended, also after an error.
 */
export class AdmissionTicket {
    readonly customer: string;
    /** Name of the gate whose slot it holds. */
    readonly gate: string;
    /** Priority of the customer at the engines; higher priorities go first. */
    readonly priority: number;
    /** Time between arrival and admission. */
    readonly queuedMilliseconds: number;
    private onRelease: ((tokens: number) => void) | undefined;

    private constructor(options: AdmissionTicketOptions) {
        this.customer = options.customer;
        this.gate = options.gate;
        this.priority = options.priority;
        this.queuedMilliseconds = options.queuedMilliseconds;
        this.onRelease = options.onRelease;
    }

    /** Creates the ticket of a request that has just been admitted. */
    static create(options: AdmissionTicketOptions): AdmissionTicket {
        return new AdmissionTicket(options);
    }

    /**
     * Releases the slot and charges the customer for the tokens. A second call does nothing.
     * @param usage - Tokens that the request consumed; 0 if an endpoint reported that it did not run.
     */
    release(usage: { tokens: number; }): void {
        const onRelease = this.onRelease;
        this.onRelease = undefined;
        onRelease?.(usage.tokens);
    }
}
