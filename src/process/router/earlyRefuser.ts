import type { RelayRefusal } from "../../request/relay/answers/relayRefusal.ts";
import type { RoutedRequest } from "../../request/relay/routedRequest.ts";
import { events } from "../logging/events.ts";
import { LowestRankRefuser } from "../overload/lowestRankRefuser.ts";
import type { OverloadProtection } from "../overload/overloadProtection.ts";
import type { RouterNodeOptions } from "./routerNodeOptions.ts";
import type { RoutingHolder } from "./routingHolder.ts";

/** Options of an {@link EarlyRefuser}. */
interface EarlyRefuserOptions {
    node: Pick<RouterNodeOptions, "random" | "log" | "metrics">;
    overload: Pick<OverloadProtection, "getRefusalMilliseconds">;
    routing: Pick<RoutingHolder, "getState">;
}

/** Refuses requests before their bodies are read while the node is too late to serve them, and logs and counts the refusals. */
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
     * @returns The refusal, or undefined if the request is to be handled as usual.
     */
    decide(head: Pick<RoutedRequest, "id" | "host" | "target" | "apiKey">): RelayRefusal | undefined {
        const { node: { log, metrics }, overload, routing } = this.options;
        const recoveryMilliseconds = overload.getRefusalMilliseconds();
        const state = routing.getState();
        if (recoveryMilliseconds === 0 || state === undefined) {
            return undefined;
        }
        const refusal = this.lowestRankRefuser.decide(head, state, recoveryMilliseconds);
        if (refusal !== undefined) {
            const { reason } = refusal;
            const { version: configurationVersion } = state.configuration;
            log.write(events.relayRefused, { request: head.id, reason, configurationVersion });
            metrics.refusalsTotal.inc({ reason });
        }
        return refusal;
    }
}
