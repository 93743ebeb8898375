/** What an `AdmissionTicket` is created from. */
interface AdmissionTicketOptions {
    customer: string;
    /** Name of the gate. */
    gate: string;
    /** Priority of the customer for the engines; higher goes first. */
    priority: number;
    /** Time between the arrival and the admission, in milliseconds. */
    queuedMilliseconds: number;
    /** Called at most once, with the tokens that the run took; 0 where it did not run. */
    onRelease: (tokens: number) => void;
}

/** The right to run one request. Its holder releases it when the run has ended, however it ended. */
export class AdmissionTicket {
    readonly customer: string;
    /** Name of the gate whose place it holds. */
    readonly gate: string;
    /** Priority of the customer for the engines; higher goes first. */
    readonly priority: number;
    /** Time between the arrival and the admission, in milliseconds. */
    readonly queuedMilliseconds: number;
    private onRelease: ((tokens: number) => void) | undefined;

    private constructor(options: AdmissionTicketOptions) {
        this.customer = options.customer;
        this.gate = options.gate;
        this.priority = options.priority;
        this.queuedMilliseconds = options.queuedMilliseconds;
        this.onRelease = options.onRelease;
    }

    /** Creates the ticket of a request that has just been given its place. */
    static create(options: AdmissionTicketOptions): AdmissionTicket {
        return new AdmissionTicket(options);
    }

    /**
     * Gives the place back and settles the customer's account. A second call does nothing.
     * @param usage - Tokens that the run took; 0 where an endpoint said that it did not run.
     */
    release(usage: { tokens: number; }): void {
        const onRelease = this.onRelease;
        this.onRelease = undefined;
        onRelease?.(usage.tokens);
    }
}
