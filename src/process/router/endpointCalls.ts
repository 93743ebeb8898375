import type { UpstreamPools } from "../../connection/upstream/upstreamPools.ts";
import type { UpstreamRequest } from "../../connection/upstream/upstreamRequest.ts";
import type { EndpointProtocol } from "../../request/relay/endpointProtocol.ts";
import type { EndpointReport } from "../../request/relay/endpointReport.ts";
import type { LayerOrder } from "../../request/relay/layerOrder.ts";
import type { OrderOutcome } from "../../request/relay/orderOutcome.ts";
import type { RegisteredEndpoint } from "../../request/relay/registeredEndpoint.ts";
import type { RelayStage } from "../../request/relay/relayStage.ts";
import type { RerouteOutcome } from "../../request/relay/rerouteOutcome.ts";
import type { Clock } from "../clock.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import type { Metrics } from "../metrics/metrics.ts";

/** Options of {@link EndpointCalls}. */
interface EndpointCallsOptions {
    protocol: EndpointProtocol;
    pools: UpstreamPools;
    clock: Clock;
    metrics: Metrics;
    log: EventLog;
    /** Called with an endpoint and the start that its report names, where that is another one. */
    onIncarnation(endpoint: RegisteredEndpoint, incarnation: number): void;
}

/** A whole answer to a report or order. */
interface CallAnswer {
    status: number;
    body: Buffer;
}

/** A report is written without waiting for a place; an endpoint that needs longer is taken as silent. */
const reportTimeoutMilliseconds = 350;
const orderTimeoutMilliseconds = 1_200;
const rerouteTimeoutMilliseconds = 500;
const successStatus = 200;

/** Calls to endpoints beside callers' requests: reports and orders. */
export class EndpointCalls {
    private readonly options: EndpointCallsOptions;

    private constructor(options: EndpointCallsOptions) {
        this.options = options;
    }

    /** Creates the calls. */
    static create(options: EndpointCallsOptions): EndpointCalls {
        return new EndpointCalls(options);
    }

    /** Asks an endpoint for its state; undefined where it doesn't answer in time. */
    async fetchReport(endpoint: RegisteredEndpoint): Promise<EndpointReport | undefined> {
        const { protocol } = this.options;
        const request = protocol.createReportRequest(endpoint.address);
        const answer = await this.call("report", endpoint.address, request, reportTimeoutMilliseconds);
        if (answer === undefined || answer.status !== successStatus) {
            return undefined;
        }
        const report = protocol.readReport(answer.body);
        if (report.err) {
            this.options.log.write(events.endpointReportBroken, { endpoint: endpoint.id, reason: report.val });
            return undefined;
        }
        const { incarnation } = report.val;
        if (incarnation !== 0 && incarnation !== endpoint.incarnation) {
            // Of an endpoint that has started again since it was asked for, or of an earlier start, on a connection that lived on.
            this.options.onIncarnation(endpoint, incarnation);
            return undefined;
        }
        return report.val;
    }

    /** Orders an endpoint to hold layers; undefined where the answer is missing. */
    async sendLayerOrder(endpoint: RegisteredEndpoint, order: LayerOrder): Promise<OrderOutcome | undefined> {
        const { protocol } = this.options;
        const request = protocol.createLayerOrder(endpoint, order);
        const answer = await this.call("order", endpoint.address, request, orderTimeoutMilliseconds);
        return answer === undefined ? undefined : protocol.readOrderOutcome(answer.status, answer.body);
    }

    /** Asks the first stage of a chain to move a request to another one. */
    async sendReroute(requestId: string, stages: RelayStage[]): Promise<RerouteOutcome> {
        const { protocol } = this.options;
        const { endpoint } = stages[0]!;
        const request = protocol.createRerouteOrder(endpoint, requestId, stages);
        const answer = await this.call("reroute", endpoint.address, request, rerouteTimeoutMilliseconds);
        if (answer === undefined) {
            return { isDone: false, faultyAddress: undefined };
        }
        const outcome = protocol.readOrderOutcome(answer.status, answer.body);
        const isDone = outcome.kind === "begun" || outcome.kind === "done";
        return { isDone, faultyAddress: outcome.faultyAddress };
    }

    private call(
        name: string,
        address: string,
        request: UpstreamRequest,
        timeoutMilliseconds: number,
    ): Promise<CallAnswer | undefined> {
        const { pools, clock, metrics } = this.options;
        return new Promise(resolve => {
            const chunks: Buffer[] = [];
            let status = 0;
            const finish = (outcome: string, answer: CallAnswer | undefined) => {
                timer.cancel();
                metrics.endpointCallsTotal.inc({ call: name, outcome });
                resolve(answer);
            };
            const exchange = pools.getPool(address).send(request, {
                onHead: given => {
                    status = given;
                },
                onData: chunk => chunks.push(chunk),
                onEnd: () => finish("answered", { status, body: Buffer.concat(chunks) }),
                onFailure: failure => finish(failure.kind, undefined),
            });
            const timer = clock.setTimer(timeoutMilliseconds, () => {
                exchange.abort();
                finish("timedOut", undefined);
            });
        });
    }
}
