import type { EngineModel } from "../../../version/routing/engineModel.ts";

/** Bits per millisecond at a bandwidth of one megabit per second. */
const bitsPerMillisecond = 1_000;
/**
 * Fraction of a link's bandwidth that requests may use. With more, prompts queue behind each other for longer than a latency objective
 * allows, and the tokens of running streams queue behind them.
 */
const usableFraction = 0.7;

/** Gets the bits per millisecond that requests may send over a link between data centres. */
export function getUsableRate(model: EngineModel): number {
    return model.linkMegabitsPerSecond * bitsPerMillisecond * usableFraction;
}
