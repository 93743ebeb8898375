/** Result of an order to an endpoint. */
export interface OrderOutcome {
    kind: "begun" | "done" | "misfit" | "fenced" | "unknownRequest" | "refused";
    /** host:port of the endpoint that caused the failure, if one is named. */
    faultyAddress: string | undefined;
}
