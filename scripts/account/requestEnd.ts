/** How one request ended at one node, as its log says. */
export interface RequestEnd {
    /** When it arrived, in Unix milliseconds. */
    arrivedAt: number;
    route: string;
    /** `inTime`, `late`, or why there is no whole answer. */
    reason: string;
}
