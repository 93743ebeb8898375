/** A link from one data centre to another. */
export interface Crossing {
    from: string;
    to: string;
}
