import type { AnswerInstructions } from "../../connection/instructions/answerInstructions.ts";
import { bodyBoundsOfUse } from "../../connection/upstream/bodyBoundsOfUse.ts";
import { isRefusedFailure } from "../../connection/upstream/path/isRefusedFailure.ts";
import type { UpstreamPools } from "../../connection/upstream/upstreamPools.ts";
import type { UpstreamRequest } from "../../connection/upstream/upstreamRequest.ts";
import type { RelayStage } from "../../request/relay/chains/relayStage.ts";
import type { EndpointProtocol } from "../../request/relay/endpointProtocol.ts";
import type { EndpointReport } from "../../request/relay/endpoints/endpointReport.ts";
import type { LayerOrder } from "../../request/relay/endpoints/layerOrder.ts";
import type { OrderOutcome } from "../../request/relay/endpoints/orderOutcome.ts";
import type { RegisteredEndpoint } from "../../request/relay/endpoints/registeredEndpoint.ts";
import type { RerouteOutcome } from "../../request/relay/endpoints/rerouteOutcome.ts";
import { Err, Ok, type Result } from "../../result.ts";
import type { Clock } from "../clock.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import { ProcessorAccount } from "../loop/processorAccount.ts";
import { ProcessorCause } from "../loop/processorCause.ts";
import type { Metrics } from "../metrics/metrics.ts";

/** Options of {@link EndpointCalls}. */
interface EndpointCallsOptions {
    protocol: EndpointProtocol;
    pools: UpstreamPools;
    clock: Clock;
    metrics: Metrics;
    log: EventLog;
    /** Called with the instructions of each answer, and the name of the call. */
    onInstructions(endpoint: RegisteredEndpoint, instructions: AnswerInstructions, call: string): void;
    /** Called when the incarnation in an endpoint's report differs from the known one. */
    onIncarnation(endpoint: RegisteredEndpoint, incarnation: number): void;
}

/** A complete response to a report request or an order. */
interface CallAnswer {
    status: number;
    body: Buffer;
}

const account = ProcessorAccount.ofProcess;
/** Endpoints write reports without queueing them, so an endpoint that takes longer counts as unresponsive. */
const reportTimeoutMilliseconds = 350;
const orderTimeoutMilliseconds = 1_200;
const rerouteTimeoutMilliseconds = 500;
const successStatus = 200;

/** Sends report requests and orders to endpoints, separately from callers' requests. */
export class EndpointCalls {
    private readonly options: EndpointCallsOptions;

    private constructor(options: EndpointCallsOptions) {
        this.options = options;
    }

    /** Creates the client for these calls. */
    static create(options: EndpointCallsOptions): EndpointCalls {
        return new EndpointCalls(options);
    }

    /** Fetches an endpoint's report. Returns undefined if there is no valid answer in time. */
    async fetchReport(endpoint: RegisteredEndpoint): Promise<EndpointReport | undefined> {
        const { protocol } = this.options;
        const request = protocol.createReportRequest(endpoint.address);
        const answer = await this.call("report", endpoint, request, reportTimeoutMilliseconds);
        if (answer.err || answer.val.status !== successStatus) {
            return undefined;
        }
        const { body } = answer.val;
        const report = account.run(ProcessorCause.EndpointPoll, () => protocol.readReport(body));
        if (report.err) {
            this.options.log.write(events.endpointReportInvalid, { endpoint: endpoint.id, reason: report.val });
            return undefined;
        }
        const { incarnation } = report.val;
        if (incarnation !== 0 && incarnation !== endpoint.incarnation) {
            // The endpoint has restarted since it was looked up, or an earlier process answered on a connection that stayed open.
            this.options.onIncarnation(endpoint, incarnation);
            return undefined;
        }
        return report.val;
    }

    /** Checks if an endpoint refuses connections, as it does once its process has ended. */
    async isRefusing(endpoint: RegisteredEndpoint): Promise<boolean> {
        const request = this.options.protocol.createReportRequest(endpoint.address);
        const answer = await this.call("check", endpoint, request, reportTimeoutMilliseconds);
        return answer.err && isRefusedFailure(answer.val);
    }

    /** Orders an endpoint to hold layers. Returns undefined if there is no answer. */
    async sendLayerOrder(endpoint: RegisteredEndpoint, order: LayerOrder): Promise<OrderOutcome | undefined> {
        const { protocol } = this.options;
        const request = protocol.createLayerOrder(endpoint, order);
        const answer = await this.call("order", endpoint, request, orderTimeoutMilliseconds);
        return answer.err ? undefined : protocol.readOrderOutcome(answer.val.status, answer.val.body);
    }

    /** Orders the first stage of a chain to move a request to the given stages. */
    async sendReroute(requestId: string, stages: RelayStage[]): Promise<RerouteOutcome> {
        const { protocol } = this.options;
        const { endpoint } = stages[0]!;
        const request = protocol.createRerouteOrder(endpoint, requestId, stages);
        const answer = await this.call("reroute", endpoint, request, rerouteTimeoutMilliseconds);
        if (answer.err) {
            return { isDone: false, faultyAddress: undefined };
        }
        const outcome = protocol.readOrderOutcome(answer.val.status, answer.val.body);
        const isDone = outcome.kind === "begun" || outcome.kind === "done";
        return { isDone, faultyAddress: outcome.faultyAddress };
    }

    /** Sends a request. Returns why there is no answer otherwise. */
    private call(
        name: string,
        endpoint: RegisteredEndpoint,
        request: UpstreamRequest,
        timeoutMilliseconds: number,
    ): Promise<Result<CallAnswer, string>> {
        const { protocol, pools, clock, metrics, onInstructions } = this.options;
        return new Promise(resolve => {
            const chunks: Buffer[] = [];
            let status = 0;
            const finish = (outcome: string, answer: Result<CallAnswer, string>) => {
                timer.cancel();
                metrics.endpointCallsTotal.inc({ call: name, outcome });
                resolve(answer);
            };
            const exchange = pools.getPool(endpoint.address).send(request, {
                onHead: (responseStatus, headers) => {
                    status = responseStatus;
                    account.runPart(
                        ProcessorCause.EndpointPoll,
                        () => onInstructions(endpoint, protocol.readInstructions(responseStatus, headers), name),
                    );
                },
                getBodyBounds: () => bodyBoundsOfUse.call,
                onData: chunk => chunks.push(chunk),
                onEnd: () => finish("answered", Ok({ status, body: Buffer.concat(chunks) })),
                onFailure: failure => finish(failure.kind, Err(failure.message)),
                onError: error => finish("unsendable", Err(String(error))),
            });
            const timer = clock.setTimer(timeoutMilliseconds, () => {
                // Where few requests come, these calls are the first to meet a lost path.
                exchange.testPath(() => undefined);
                exchange.abort();
                finish("timedOut", Err(`no answer within ${timeoutMilliseconds} ms`));
            });
        });
    }
}
