import type { RandomSource } from "../../src/process/randomSource.ts";
import { experimentModel } from "./experimentModel.ts";
import type { ExperimentSettings } from "./experimentSettings.ts";
import type { SimulatedRequest } from "./simulatedRequest.ts";

const smallCustomerCount = 9;
/**
 * Standard deviations of the logarithms of prompt lengths, answer lengths and the callers' estimates of answer lengths.
 */
const promptLogDeviation = 0.8;
const answerLogDeviation = 0.7;
const estimateLogDeviation = 0.5;
/** Maximum length as a multiple of the mean. */
const maximumLengthFactor = 3;
const minimumDeadlineMilliseconds = 17_000;
const deadlineRangeMilliseconds = 3_000;

const defaultRank = 1;
const defaultTargetLatencyMilliseconds = 500;

/**
 * Creates a random request of a load.
 * @param settings - The load.
 * @param id - Id of the request.
 * @param random - Source of its properties.
 * @param getFactor - Gets the current multiplier of the arrival rate of a rank.
 */
export function createRequest(
    settings: ExperimentSettings,
    id: string,
    random: RandomSource,
    getFactor: (rank: number) => number = () => 1,
): SimulatedRequest {
    const route = settings.routes.length === 0 ? undefined : drawRoute(settings, random, getFactor);
    const answerTokens = drawLength(route?.answerTokens ?? settings.answerTokens, answerLogDeviation, random);
    const isFromLargeCustomer = random() < settings.largeCustomerPart;
    return {
        id,
        rank: route?.rank ?? defaultRank,
        targetLatencyMilliseconds: route?.targetLatencyMilliseconds ?? defaultTargetLatencyMilliseconds,
        customer: isFromLargeCustomer ? "large" : `small-${Math.floor(random() * smallCustomerCount)}`,
        promptTokens: Math.ceil(drawLength(settings.promptTokens, promptLogDeviation, random)),
        events: Math.max(1, Math.round(answerTokens / experimentModel.stepsPerPass)),
        expectedAnswerTokens: Math.ceil(answerTokens * Math.exp(estimateLogDeviation * drawNormal(random))),
        deadlineMilliseconds: Math.floor(minimumDeadlineMilliseconds + deadlineRangeMilliseconds * random()),
        immediateRetryProbability: settings.impatientPart,
    };
}

function drawRoute({ routes }: ExperimentSettings, random: RandomSource, getFactor: (rank: number) => number) {
    const weights = routes.map(({ rank, share }) => share * getFactor(rank));
    let remainder = random() * weights.reduce((sum, weight) => sum + weight, 0);
    for (const [index, weight] of weights.entries()) {
        remainder -= weight;
        if (remainder < 0) {
            return routes[index]!;
        }
    }
    return routes.at(-1)!;
}

/** Draws a length from a lognormal distribution, capped at a multiple of its mean. */
function drawLength(mean: number, logDeviation: number, random: RandomSource): number {
    const length = mean * Math.exp(logDeviation * drawNormal(random) - logDeviation * logDeviation / 2);
    return Math.min(mean * maximumLengthFactor, Math.max(1, length));
}

/** Draws a number from the standard normal distribution by the Box-Muller transform. */
function drawNormal(random: RandomSource): number {
    return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
}
