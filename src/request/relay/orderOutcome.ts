/** How an endpoint took an order. */
export interface OrderOutcome {
    kind: "begun" | "done" | "misfit" | "fenced" | "unknownRequest" | "refused";
    /** host:port of the endpoint at fault, where one is named. */
    faultyAddress: string | undefined;
}
