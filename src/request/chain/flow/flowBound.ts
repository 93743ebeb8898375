/** Upper bound on the throughput of a fleet. */
export interface FlowBound {
    /** Positions per second over all models together, with the models' demands in the given ratios. */
    positionsPerSecond: number;
    /** Positions per second of each model if it ran alone. */
    positionsPerSecondAlone: ReadonlyMap<string, number>;
    /** Positions per second by model, interval and holder, for one flow that reaches the bound over all models. */
    flows: ReadonlyMap<string, readonly Float64Array[]>;
}
