import { callerKey } from "../../../standins/router/callerKey.ts";

/** A customer in the soak test's configuration. */
export interface Customer {
    name: string;
    apiKey: string;
    /** Share of all requests. */
    share: number;
}

/** Customers of unequal size: one has a quarter of all traffic. */
export const customers: readonly Customer[] = [
    { name: "large", apiKey: "key-of-large", share: 0.25 },
    { name: "first", apiKey: callerKey, share: 0.375 },
    { name: "second", apiKey: "key-of-second", share: 0.375 },
];
