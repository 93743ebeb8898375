import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from "prom-client";

/**
 * Sampling interval of the event loop delay. The default of 10 ms wakes the process 100 times per second, which took half of
 * the CPU time of an idle node.
 */
const eventLoopSamplingMilliseconds = 250;
const requestBuckets = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120, 300];
const excessBuckets = [-0.3, -0.2, -0.1, -0.05, 0, 0.05, 0.1, 0.2, 0.3, 0.5];
const passBuckets = [0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

/**
 * Prometheus metrics of one node, in a separate registry. The help text of each metric describes it.
 * As Prometheus expects, times are in seconds and all names start with `foxlead_`.
 */
export class Metrics {
    readonly registry = new Registry();

    readonly requestsTotal = this.createCounter("requests_total", "Requests that received their final answer.", [
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
        "Time between two consecutive tokens of an answer.",
        passBuckets,
    );

    readonly tokensTotal = this.createCounter("tokens_total", "Tokens accepted into answers.");
    private tokenCount = 0;
    readonly passesTotal = this.createCounter("passes_total", "Passes of an engine over a range of layers.", [
        "outcome",
    ]);
    readonly passSeconds = this.createHistogram(
        "pass_seconds",
        "Duration of a pass, from sending it to receiving its answer.",
        passBuckets,
    );
    readonly staleResultsTotal = this.createCounter(
        "stale_results_total",
        "Answers dropped because they were superseded by a newer attempt or position.",
        ["reason"],
    );

    readonly rebuildsTotal = this.createCounter("rebuilds_total", "Contexts rebuilt on another chain.");
    readonly recoverySeconds = this.createHistogram(
        "recovery_seconds",
        "Time from the detection of a failed stage to the next token.",
        requestBuckets,
    );
    readonly rebuiltPositionsTotal = this.createCounter(
        "rebuilt_positions_total",
        "Positions recomputed to rebuild a context; they produce no output tokens.",
    );

    readonly claimsTotal = this.createCounter("claims_total", "Claims on idempotency keys.", ["outcome"]);
    readonly claimSeconds = this.createHistogram(
        "claim_seconds",
        "Duration of a claim, including the wait for its batch.",
        passBuckets,
    );

    readonly queueDepth = this.createGauge("queue_depth", "Requests that are queued for admission.");
    readonly refusalsTotal = this.createCounter("refusals_total", "Requests refused without being run.", ["reason"]);
    readonly endpointInstructionsTotal = this.createCounter(
        "endpoint_instructions_total",
        "Times that an endpoint asked this node for a pause or announced that it is leaving.",
        ["instruction"],
    );
    readonly endpointEndsTotal = this.createCounter(
        "endpoint_ends_total",
        "Endpoints that appear to have crashed when they started to run a request, by outcome for the request.",
        ["outcome"],
    );
    readonly retriesTotal = this.createCounter("retries_total", "Retried calls to endpoints.", ["outcome"]);

    readonly startDecisionsTotal = this.createCounter(
        "start_decisions_total",
        "Decisions to start, wait or refuse on routed requests for a chain; a request that waits is counted twice.",
        ["decision"],
    );
    readonly rankRequestsTotal = this.createCounter(
        "rank_requests_total",
        "Routed requests for a chain of services that have several ranks, by rank and outcome.",
        ["rank", "outcome"],
    );
    readonly rankAdmittedShare = this.createGauge(
        "rank_admitted_share",
        "Fraction of a rank's new requests that all nodes start, for services that have several ranks.",
        ["rank"],
    );
    readonly startWaitSeconds = this.createHistogram(
        "start_wait_seconds",
        "Time that routed requests were queued for a chain before they started.",
        passBuckets,
    );
    readonly startWaitExcessSeconds = this.createHistogram(
        "start_wait_excess_seconds",
        "Actual minus expected queue time of routed requests; negative if the wait was shorter.",
        excessBuckets,
    );
    readonly relaysInProgress = this.createGauge(
        "relays_in_progress",
        "Routed requests that have not received their final answer.",
    );
    readonly upstreamConnectionsTotal = this.createCounter(
        "upstream_connections_total",
        "Connections opened to endpoints by the router.",
    );
    readonly unreachableEndpoints = this.createGauge(
        "unreachable_endpoints",
        "Registered endpoints that this node cannot connect to over its own links.",
    );
    readonly linkLoadBitsPerSecond = this.createGauge(
        "link_load_bits_per_second",
        "Traffic that this node's requests cause on a link between data centres.",
        ["from", "to"],
    );
    readonly linkClosed = this.createGauge(
        "link_closed",
        "1 while a link between data centres is closed for new streams at this node.",
        ["from", "to"],
    );
    readonly tunnels = this.createGauge("tunnels", "Connections to endpoints that peers hold through this node.");
    readonly endpointCallsTotal = this.createCounter("endpoint_calls_total", "Reports and orders sent to endpoints.", [
        "call",
        "outcome",
    ]);

    readonly processorAccountSecondsTotal = this.createCounter(
        "processor_account_seconds_total",
        "Time of the event loop's thread by cause, if the processor account is enabled.",
        ["cause"],
    );
    readonly processorAccountTotal = this.createCounter(
        "processor_account_total",
        "Occurrences of the causes of the processor account.",
        ["cause"],
    );

    readonly overloadStep = this.createGauge(
        "overload_step",
        "1 for the steps by which this node protects itself from its load now, 0 for those that it took before.",
        ["step"],
    );
    readonly outOfRotation = this.createGauge(
        "out_of_rotation",
        "1 while this node reports itself as not ready to the load balancer because it is late, otherwise 0.",
    );

    readonly connectionsClosedUnreadTotal = this.createCounter(
        "connections_closed_unread_total",
        "New connections of callers that were closed unread because too many waited.",
    );
    readonly configurationVersion = this.createGauge(
        "configuration_version",
        "Version of the configuration in force.",
    );
    readonly members = this.createGauge("members", "Live nodes in the membership view of this node, including itself.");
    readonly endpointState = this.createGauge(
        "endpoint_state",
        "1 for the current state of an endpoint, 0 for the other states.",
        ["endpoint", "state"],
    );
    readonly storeCallsTotal = this.createCounter("store_calls_total", "Calls to the platform's key-value store.", [
        "call",
        "outcome",
    ]);
    readonly lostEndpoints = this.createGauge(
        "lost_endpoints",
        "Endpoints that are considered lost by the evidence of nodes, although they are registered.",
    );
    readonly placementFirstOrderSeconds = this.createHistogram(
        "placement_first_order_seconds",
        "Time from when layers had to be placed, as this node sees it, until its first order.",
        [0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10],
    );
    readonly storeCopyAgeSeconds = this.createGauge(
        "store_copy_age_seconds",
        "Time since this node's copy of the platform's store was last known to be current.",
    );
    readonly storeEra = this.createGauge(
        "store_era",
        "Number that the platform's store increases each time that it is restored from an older snapshot.",
    );
    readonly peerCallsTotal = this.createCounter("peer_calls_total", "Calls to other nodes.", ["call", "outcome"]);

    readonly flowBoundTokensPerSecond = this.createGauge(
        "flow_bound_tokens_per_second",
        "Upper bound of the throughput, computed as the maximum flow over the endpoints and links.",
    );
    readonly achievedShare = this.createGauge(
        "achieved_share",
        "Measured tokens per second divided by the upper bound of the throughput.",
    );
    readonly invariantFailuresTotal = this.createCounter(
        "invariant_failures_total",
        "Failed invariant checks.",
        ["name"],
    );

    private constructor() {
        collectDefaultMetrics({
            register: this.registry,
            eventLoopMonitoringPrecision: eventLoopSamplingMilliseconds,
        });
    }

    /** Creates the metrics of a node, including the default metrics of the process. */
    static create(): Metrics {
        return new Metrics();
    }

    /** Counts a token that was accepted into an answer. */
    countToken(): void {
        this.tokenCount += 1;
        this.tokensTotal.inc();
    }

    /** Gets the number of tokens that were accepted since the start. */
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
