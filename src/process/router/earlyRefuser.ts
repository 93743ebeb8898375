import type { RelayRefusal } from "../../request/relay/answers/relayRefusal.ts";
import type { RoutedRequest } from "../../request/relay/routedRequest.ts";
import type { RoutingState } from "../../version/routing/routingState.ts";
import { events } from "../logging/events.ts";
import { LowestRankRefuser } from "../overload/lowestRankRefuser.ts";
import type { OverloadProtection } from "../overload/overloadProtection.ts";
import { identifyRequest } from "./identifyRequest.ts";
import type { RouterNodeOptions } from "./routerNodeOptions.ts";
import type { RoutingHolder } from "./routingHolder.ts";

/** Options of an {@link EarlyRefuser}. */
interface EarlyRefuserOptions {
    node: Pick<RouterNodeOptions, "random" | "log" | "metrics">;
    overload: Pick<OverloadProtection, "getRefusalMilliseconds">;
    routing: Pick<RoutingHolder, "getState">;
    /** Checks if what the configuration in force lacks does not exist. */
    isCopyCurrent(): boolean;
}

/**
 * Refuses requests before their bodies are read while the node is too late to serve them, or if nothing can come of their bodies. Logs and
 * counts the refusals.
 */
export class EarlyRefuser {
    private readonly options: EarlyRefuserOptions;
    private readonly lowestRankRefuser: LowestRankRefuser;

    private constructor(options: EarlyRefuserOptions) {
        this.options = options;
        this.lowestRankRefuser = LowestRankRefuser.create(options.node.random);
    }

    /** Creates a refuser. */
    static create(options: EarlyRefuserOptions): EarlyRefuser {
        return new EarlyRefuser(options);
    }

    /**
     * Decides on a request whose body isn't read yet.
     * @param head - Head of the request.
     * @param hasLargeBody - Whether its body may be large.
     * @returns The refusal, or undefined if the request is to be handled as usual.
     */
    decide(
        head: Pick<RoutedRequest, "id" | "host" | "target" | "apiKey">,
        hasLargeBody: boolean,
    ): RelayRefusal | undefined {
        const { node: { log, metrics }, routing } = this.options;
        const state = routing.getState();
        if (state === undefined) {
            return undefined;
        }
        const refusal = this.refuseLowestRank(head, state)
            ?? (hasLargeBody ? this.refuseUnknown(head, state) : undefined);
        if (refusal !== undefined) {
            const { reason } = refusal;
            const { version: configurationVersion } = state.configuration;
            log.write(events.relayRefused, { request: head.id, reason, configurationVersion });
            metrics.refusalsTotal.inc({ reason });
        }
        return refusal;
    }

    private refuseLowestRank(head: Pick<RoutedRequest, "host" | "target" | "apiKey">, state: RoutingState) {
        const recoveryMilliseconds = this.options.overload.getRefusalMilliseconds();
        return recoveryMilliseconds === 0
            ? undefined
            : this.lowestRankRefuser.decide(head, state, recoveryMilliseconds);
    }

    /** Refuses a request that the configuration doesn't know, if that is surely the newest. */
    private refuseUnknown(head: Pick<RoutedRequest, "host" | "target" | "apiKey">, state: RoutingState) {
        const identified = identifyRequest(state, head);
        return identified.err && this.options.isCopyCurrent() ? identified.val : undefined;
    }
}
