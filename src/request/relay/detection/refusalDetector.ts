import type { Clock } from "../../../process/clock.ts";
import type { EventLog } from "../../../process/logging/eventLog.ts";
import { events } from "../../../process/logging/events.ts";
import type { EndpointHealth } from "../endpoints/endpointHealth.ts";
import type { EndpointReport } from "../endpoints/endpointReport.ts";
import type { RegisteredEndpoint } from "../endpoints/registeredEndpoint.ts";
import { isRefusalLasting } from "./isRefusalLasting.ts";

/** Options of a {@link RefusalDetector}. */
interface RefusalDetectorOptions {
    health: EndpointHealth;
    clock: Pick<Clock, "getMonotonicTime" | "setTimer">;
    log: EventLog;
    /** Fetches an endpoint's report. Returns undefined if the endpoint doesn't answer. */
    fetchReport(endpoint: RegisteredEndpoint): Promise<EndpointReport | undefined>;
    /** Called when an endpoint is newly found to refuse all requests. */
    onFound(): void;
}

/**
 * Delay before a report is fetched for the second time; a report lags behind a refusal by less than this. The first report of an endpoint
 * that other nodes have just filled still shows free memory, and avoiding that endpoint would waste capacity that is scarce after a loss.
 */
const recheckDelayMilliseconds = 200;

/**
 * Detects endpoints that refuse all new requests, so that peers can be informed.
 *
 * This matters when many endpoints drain at once while the store that would announce it is unavailable. Otherwise each node discovers
 * each of these endpoints by refused requests, again on every check whether the endpoint is back. This uses up the retry budget of all
 * nodes, and requests are rejected although other endpoints have free memory for them.
 */
export class RefusalDetector {
    private readonly options: RefusalDetectorOptions;
    private readonly checking = new Set<string>();

    private constructor(options: RefusalDetectorOptions) {
        this.options = options;
    }

    /** Creates a detector without refusals. */
    static create(options: RefusalDetectorOptions): RefusalDetector {
        return new RefusalDetector(options);
    }

    /**
     * Checks why an endpoint refused a request although it was expected to have free memory. One that refused all requests until
     * recently is checked once, so that peers whose knowledge ends at the same time are informed before they try it again.
     */
    async check(endpoint: RegisteredEndpoint): Promise<void> {
        const { id } = endpoint;
        if (this.checking.has(id)) {
            return;
        }
        this.checking.add(id);
        const { health, clock } = this.options;
        const isKnown = health.hasRefusedRecently(id, clock.getMonotonicTime());
        let report = await this.options.fetchReport(endpoint);
        if (isRefusalLasting(report) && !isKnown) {
            await this.wait();
            report = await this.options.fetchReport(endpoint);
        }
        this.checking.delete(id);
        this.decide(id, report);
    }

    private wait(): Promise<void> {
        return new Promise(resolve => {
            this.options.clock.setTimer(recheckDelayMilliseconds, resolve);
        });
    }

    private decide(endpointId: string, report: EndpointReport | undefined): void {
        const { health, clock, log, onFound } = this.options;
        const isLasting = isRefusalLasting(report);
        const isNews = isLasting && health.addRefusal(endpointId, clock.getMonotonicTime());
        log.write(events.endpointRejectionChecked, {
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
