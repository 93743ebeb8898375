import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from "prom-client";

/** The event loop's delay is sampled so often; at 10 ms, the default, 100 wake-ups a second took half of an idle node's processor. */
const loopMonitoringMilliseconds = 250;
const requestBuckets = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120, 300];
const excessBuckets = [-0.3, -0.2, -0.1, -0.05, 0, 0.05, 0.1, 0.2, 0.3, 0.5];
const passBuckets = [0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

/**
 * The metrics of one node, in a registry of their own. The help text of each says what it holds.
 * Times are in seconds and names begin with `foxlead_`, as Prometheus expects.
 */
export class Metrics {
    readonly registry = new Registry();

    readonly requestsTotal = this.createCounter("requests_total", "Requests that got their final answer.", [
        "service",
        "outcome",
    ]);
    readonly requestSeconds = this.createHistogram(
        "request_seconds",
        "Time from the receipt of a request to its final answer.",
        requestBuckets,
        ["service"],
    );
    readonly firstTokenSeconds = this.createHistogram(
        "first_token_seconds",
        "Time from the receipt of a request to its first token.",
        requestBuckets,
    );
    readonly betweenTokensSeconds = this.createHistogram(
        "between_tokens_seconds",
        "Time between two tokens of one answer.",
        passBuckets,
    );

    readonly tokensTotal = this.createCounter("tokens_total", "Tokens accepted into answers.");
    private tokenCount = 0;
    readonly passesTotal = this.createCounter("passes_total", "Passes over one layer range.", ["outcome"]);
    readonly passSeconds = this.createHistogram(
        "pass_seconds",
        "Time of one pass, from its sending to its answer.",
        passBuckets,
    );
    readonly staleResultsTotal = this.createCounter(
        "stale_results_total",
        "Answers dropped because a newer attempt or position had taken their place.",
        ["reason"],
    );

    readonly rebuildsTotal = this.createCounter("rebuilds_total", "Contexts rebuilt on a replacement.");
    readonly recoverySeconds = this.createHistogram(
        "recovery_seconds",
        "Time from the detection of a failed stage to the next token.",
        requestBuckets,
    );
    readonly rebuiltPositionsTotal = this.createCounter(
        "rebuilt_positions_total",
        "Positions computed again for a rebuild; they emit nothing.",
    );

    readonly claimsTotal = this.createCounter("claims_total", "Claims of idempotency keys.", ["outcome"]);
    readonly claimSeconds = this.createHistogram(
        "claim_seconds",
        "Time of one claim, the wait for its batch included.",
        passBuckets,
    );

    readonly queueDepth = this.createGauge("queue_depth", "Requests that wait for admission.");
    readonly refusalsTotal = this.createCounter("refusals_total", "Requests refused as not run.", ["reason"]);
    readonly endpointEndsTotal = this.createCounter(
        "endpoint_ends_total",
        "Endpoints that seem to have ended while they began to run a request, by what became of the request.",
        ["outcome"],
    );
    readonly retriesTotal = this.createCounter("retries_total", "Repeated calls to endpoints.", ["outcome"]);

    readonly startDecisionsTotal = this.createCounter(
        "start_decisions_total",
        "Decisions on routed requests for a chain: start, wait or refuse; one that waits is decided on twice.",
        ["decision"],
    );
    readonly startWaitSeconds = this.createHistogram(
        "start_wait_seconds",
        "Time that routed requests waited for a chain before they were started.",
        passBuckets,
    );
    readonly startWaitExcessSeconds = this.createHistogram(
        "start_wait_excess_seconds",
        "That time less what was expected; below 0 where the wait was shorter.",
        excessBuckets,
    );
    readonly relaysInProgress = this.createGauge("relays_in_progress", "Routed requests without their final answer.");
    readonly upstreamConnectionsTotal = this.createCounter(
        "upstream_connections_total",
        "Connections opened to endpoints by the router.",
    );
    readonly endpointCallsTotal = this.createCounter("endpoint_calls_total", "Reports and orders sent to endpoints.", [
        "call",
        "outcome",
    ]);

    readonly configurationVersion = this.createGauge(
        "configuration_version",
        "Version of the configuration in force.",
    );
    readonly members = this.createGauge("members", "Live nodes in this node's membership view, itself included.");
    readonly endpointState = this.createGauge(
        "endpoint_state",
        "1 for the state that an endpoint is in, 0 for its others.",
        ["endpoint", "state"],
    );
    readonly storeCallsTotal = this.createCounter("store_calls_total", "Calls to the platform's key-value service.", [
        "call",
        "outcome",
    ]);
    readonly peerCallsTotal = this.createCounter("peer_calls_total", "Calls to other nodes.", ["call", "outcome"]);

    readonly flowBoundTokensPerSecond = this.createGauge(
        "flow_bound_tokens_per_second",
        "Upper bound of the throughput by maximum flow over the endpoints and links.",
    );
    readonly achievedShare = this.createGauge("achieved_share", "Measured tokens a second divided by the bound.");
    readonly invariantFailuresTotal = this.createCounter(
        "invariant_failures_total",
        "Checks of an invariant that failed.",
        ["name"],
    );

    private constructor() {
        collectDefaultMetrics({
            register: this.registry,
            eventLoopMonitoringPrecision: loopMonitoringMilliseconds,
        });
    }

    /** Creates the metrics of a node, with those of the process beside them. */
    static create(): Metrics {
        return new Metrics();
    }

    /** Counts a token that was accepted into an answer. */
    countToken(): void {
        this.tokenCount += 1;
        this.tokensTotal.inc();
    }

    /** Gets the tokens that were accepted since the start. */
    getTokenCount(): number {
        return this.tokenCount;
    }

    private createCounter<Label extends string = never>(name: string, help: string, labelNames: Label[] = []) {
        return new Counter({ name: `foxlead_${name}`, help, labelNames, registers: [this.registry] });
    }

    private createGauge<Label extends string = never>(name: string, help: string, labelNames: Label[] = []) {
        return new Gauge({ name: `foxlead_${name}`, help, labelNames, registers: [this.registry] });
    }

    private createHistogram<Label extends string = never>(
        name: string,
        help: string,
        buckets: number[],
        labelNames: Label[] = [],
    ) {
        return new Histogram({ name: `foxlead_${name}`, help, buckets, labelNames, registers: [this.registry] });
    }
}
