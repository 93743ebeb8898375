/** A way between data centres that a chain's tokens take. */
export interface Crossing {
    from: string;
    to: string;
}
