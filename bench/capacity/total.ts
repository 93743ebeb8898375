/** A figure at the letter's size, worked out from slopes. */
export interface Total {
    role: string;
    quantity: string;
    value: number;
    unit: string;
    /** Most that the letter or the platform allows; undefined where neither names a limit. */
    budget?: number;
}
