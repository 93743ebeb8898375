import type { IncomingHttpHeaders } from "node:http";
import type { EndpointAddress } from "../../connection/endpoint/endpointAddress.ts";
import type { AnswerInstructions } from "../../connection/instructions/answerInstructions.ts";
import type { UpstreamRequest } from "../../connection/upstream/upstreamRequest.ts";
import type { Result } from "../../result.ts";
import type { AnswerHead } from "./answers/answerHead.ts";
import type { RelayStage } from "./chains/relayStage.ts";
import type { EndpointReport } from "./endpoints/endpointReport.ts";
import type { LayerOrder } from "./endpoints/layerOrder.ts";
import type { OrderOutcome } from "./endpoints/orderOutcome.ts";
import type { RegisteredEndpoint } from "./endpoints/registeredEndpoint.ts";
import type { ForwardingContext } from "./forwardingContext.ts";
import type { RoutedRequest } from "./routedRequest.ts";

/** Encodes requests to endpoints and decodes their answers. Makes no decisions of its own. */
export interface EndpointProtocol {
    createRequest(request: RoutedRequest, context: ForwardingContext): UpstreamRequest;
    readHead(status: number, headers: IncomingHttpHeaders, requestId: string): AnswerHead;
    /** Reads the instructions of any answer of an endpoint, also of one to a report request or an order. */
    readInstructions(status: number, headers: IncomingHttpHeaders): AnswerInstructions;
    createReportRequest(address: EndpointAddress): UpstreamRequest;
    readReport(body: Buffer): Result<EndpointReport, string>;
    createLayerOrder(endpoint: RegisteredEndpoint, order: LayerOrder): UpstreamRequest;
    /** Creates an order that moves a running request to another chain with the same first stage. */
    createRerouteOrder(endpoint: RegisteredEndpoint, requestId: string, stages: RelayStage[]): UpstreamRequest;
    readOrderOutcome(status: number, body: Buffer): OrderOutcome;
}
