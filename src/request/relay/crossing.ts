/** A way between data centres that a chain's tokens take. */
export interface Crossing {
    from: string;
    to: string;
    /** Index of the stage that they come to. */
    toStage: number;
}
