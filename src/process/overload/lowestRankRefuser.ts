import { createRefusal } from "../../request/relay/answers/createRefusal.ts";
import type { RelayRefusal } from "../../request/relay/answers/relayRefusal.ts";
import type { RoutedRequest } from "../../request/relay/routedRequest.ts";
import type { RoutingState } from "../../version/routing/routingState.ts";
import type { RandomSource } from "../randomSource.ts";
import { identifyRequest } from "../router/identifyRequest.ts";

/** Fraction of the retry delay by which it varies, so that the refused callers don't return together. */
const retrySpread = 0.5;

/**
 * Decides whether a node that is too late to serve all requests refuses one before it reads the body: a request of the lowest rank of its
 * services. Where all requests of a service have one rank, none is refused.
 *
 * Load: a small node gets a burst of the last rank while its streams of the first rank run.
 */
export class LowestRankRefuser {
    private readonly random: RandomSource;

    private constructor(random: RandomSource) {
        this.random = random;
    }

    /** Creates a refuser. */
    static create(random: RandomSource): LowestRankRefuser {
        return new LowestRankRefuser(random);
    }

    /**
     * Decides on a request to a node that is too late.
     * @param head - Head of the request.
     * @param state - The configuration in force.
     * @param recoveryMilliseconds - Time until the node serves such requests again, if it is on time from now on.
     * @returns The refusal, or undefined if the request is handled as usual.
     */
    decide(
        head: Pick<RoutedRequest, "host" | "target" | "apiKey">,
        state: RoutingState,
        recoveryMilliseconds: number,
    ): RelayRefusal | undefined {
        const identified = identifyRequest(state, head);
        if (identified.err) {
            return undefined;
        }
        const { route, customer } = identified.val;
        const rank = state.getRank(customer, route);
        const isLowest = route.services.every(({ service }) => {
            const ranks = state.getRanks(service);
            return ranks.length > 1 && ranks.at(-1) === rank;
        });
        if (!isLowest) {
            return undefined;
        }
        const delay = Math.round(recoveryMilliseconds * (1 + retrySpread * this.random()));
        return createRefusal.notRun("this node is late and serves more urgent requests first.", delay);
    }
}
