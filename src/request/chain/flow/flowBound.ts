/** The most that a fleet can carry. */
export interface FlowBound {
    /** Positions a second over all models together, with the models' demands in the given ratios. */
    positionsPerSecond: number;
    /** Positions a second of each model, if it were alone. */
    positionsPerSecondAlone: ReadonlyMap<string, number>;
    /** For each model, interval and holder the positions a second of one flow that reaches the bound together. */
    flows: ReadonlyMap<string, readonly Float64Array[]>;
}
