import type { RandomSource } from "../../src/process/randomSource.ts";
import { experimentModel } from "./experimentModel.ts";
import type { ExperimentSettings } from "./experimentSettings.ts";
import type { SimulatedRequest } from "./simulatedRequest.ts";

const smallCustomers = 9;
/** Spreads of the logarithms of the prompt's and the answer's length, and of the callers' estimates. */
const promptSpread = 0.8;
const answerSpread = 0.7;
const hintSpread = 0.5;
const mostTimesMean = 3;
const shortestDeadline = 17_000;
const deadlineSpread = 3_000;

/** Creates a request of a load. */
export function createRequest(settings: ExperimentSettings, id: string, random: RandomSource): SimulatedRequest {
    const answerTokens = drawLength(settings.answerTokens, answerSpread, random);
    const isOfLarge = random() < settings.largeCustomerPart;
    return {
        id,
        customer: isOfLarge ? "large" : `small-${Math.floor(random() * smallCustomers)}`,
        promptTokens: Math.ceil(drawLength(settings.promptTokens, promptSpread, random)),
        events: Math.max(1, Math.round(answerTokens / experimentModel.stepsOfPass)),
        expectedAnswerTokens: Math.ceil(answerTokens * Math.exp(hintSpread * drawNormal(random))),
        deadlineMilliseconds: Math.floor(shortestDeadline + deadlineSpread * random()),
        impatientPart: settings.impatientPart,
    };
}

/** Draws a length of lognormal distribution, cut at some times its mean. */
function drawLength(mean: number, spread: number, random: RandomSource): number {
    const length = mean * Math.exp(spread * drawNormal(random) - spread * spread / 2);
    return Math.min(mean * mostTimesMean, Math.max(1, length));
}

/** Draws a number of normal distribution with mean 0 and deviation 1 (Box and Muller). */
function drawNormal(random: RandomSource): number {
    return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
}
