/** A figure at the design size that is computed from slopes. */
export interface Total {
    role: string;
    quantity: string;
    value: number;
    unit: string;
    /** Maximum that the requirements or the platform allow; undefined if there is no limit. */
    budget?: number;
}
