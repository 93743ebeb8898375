import type { Clock } from "../../process/clock.ts";
import type { EventLog } from "../../process/logging/eventLog.ts";
import { events } from "../../process/logging/events.ts";
import type { EndpointHealth } from "./endpointHealth.ts";
import type { EndpointReport } from "./endpointReport.ts";
import { isRefusalLasting } from "./isRefusalLasting.ts";
import type { RegisteredEndpoint } from "./registeredEndpoint.ts";

/** Options of a {@link RefusalWatch}. */
interface RefusalWatchOptions {
    health: EndpointHealth;
    clock: Pick<Clock, "getMonotonicTime" | "setTimer">;
    log: EventLog;
    /** Asks an endpoint for its report; undefined where it doesn't answer. */
    fetchReport(endpoint: RegisteredEndpoint): Promise<EndpointReport | undefined>;
    /** Called when it was found out of an endpoint that it refuses all new requests. */
    onFound(): void;
}

/**
 * Reports are older than a refusal by less than this. An endpoint that others have just filled shows room in the first one, and to keep
 * all nodes away from it would waste what is left after a loss.
 */
const secondLookMilliseconds = 200;

/**
 * Finds out which endpoints refuse all new requests, and has the peers told.
 *
 * The load that it answers: many endpoints leave at once while the store, which would tell of it, is away. Each node then finds each
 * of them by requests that are refused, again each time it looks whether the endpoint is back; what all nodes may repeat together is
 * used up by that, and requests are turned away that other endpoints have room for.
 */
export class RefusalWatch {
    private readonly options: RefusalWatchOptions;
    private readonly asking = new Set<string>();

    private constructor(options: RefusalWatchOptions) {
        this.options = options;
    }

    /** Creates a watch that has seen no refusal. */
    static create(options: RefusalWatchOptions): RefusalWatch {
        return new RefusalWatch(options);
    }

    /** Notes that an endpoint refused a request although room was expected there, and asks it why. */
    async note(endpoint: RegisteredEndpoint): Promise<void> {
        const { id } = endpoint;
        if (this.asking.has(id)) {
            return;
        }
        this.asking.add(id);
        let report = await this.options.fetchReport(endpoint);
        if (isRefusalLasting(report)) {
            await this.wait();
            report = await this.options.fetchReport(endpoint);
        }
        this.asking.delete(id);
        this.decide(id, report);
    }

    private wait(): Promise<void> {
        return new Promise(resolve => {
            this.options.clock.setTimer(secondLookMilliseconds, resolve);
        });
    }

    private decide(endpointId: string, report: EndpointReport | undefined): void {
        const { health, clock, log, onFound } = this.options;
        const isLasting = isRefusalLasting(report);
        const isNews = isLasting && health.addRefusal(endpointId, clock.getMonotonicTime());
        log.write(events.endpointRefuses, {
            endpoint: endpointId,
            hasReport: report !== undefined,
            usedTokenLayers: report?.usedTokenLayers ?? 0,
            totalTokenLayers: report?.totalTokenLayers ?? 0,
            isLasting,
            isNews,
        });
        if (isNews) {
            onFound();
        }
    }
}
