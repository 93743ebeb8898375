import type { IncomingHttpHeaders } from "node:http";
import type { UpstreamRequest } from "../../connection/upstream/upstreamRequest.ts";
import type { Result } from "../../result.ts";
import type { AnswerHead } from "./answerHead.ts";
import type { HeldLayers } from "./heldLayers.ts";
import type { RegisteredEndpoint } from "./registeredEndpoint.ts";
import type { RelayStage } from "./relayStage.ts";
import type { RoutedRequest } from "./routedRequest.ts";

/** What goes to an endpoint beside the caller's request. */
export interface ForwardingContext {
    /** The endpoint that the request is meant for; any other one refuses it. */
    endpoint: RegisteredEndpoint;
    /** Name of the customer that holds the request's key. */
    customer: string | undefined;
    /** Time that is left for the answer, in milliseconds. */
    remainingMilliseconds: number;
    /** The chain that the request passes through; undefined for a document service. */
    stages?: RelayStage[];
    /** Id of the last event that the caller has; 0 where it has none. */
    lastEventId: number;
}

/** What an endpoint says of its state; some hundred milliseconds old. */
export interface EndpointReport {
    /** Factor on the engine's usual times; above 1 where it is slow. */
    slowness: number;
    orderSequence: number;
    isBusyWithOrder: boolean;
    layers: HeldLayers | undefined;
    /** Memory of requests that can't be given up, in tokens times layers. */
    usedTokenLayers: number;
    totalTokenLayers: number;
    /** Requests that wait for an endpoint further down their chain, by request id. */
    stalled: { requestId: string; address: string; }[];
}

/** How an endpoint took an order. */
export interface OrderOutcome {
    kind: "begun" | "done" | "misfit" | "fenced" | "unknownRequest" | "refused";
    /** host:port of the endpoint at fault, where one is named. */
    faultyAddress: string | undefined;
}

/** An order to hold a range of layers. */
export interface LayerOrder {
    layers: HeldLayers;
    fencingNumber: number;
    /** Number of orders that the endpoint must have begun before; another number refuses the order. */
    expectedSequence: number;
}

/** How endpoints are spoken to. Translates only; all decisions are made by the callers. */
export interface EndpointProtocol {
    createRequest(request: RoutedRequest, context: ForwardingContext): UpstreamRequest;
    readHead(status: number, headers: IncomingHttpHeaders, requestId: string): AnswerHead;
    createReportRequest(address: string): UpstreamRequest;
    readReport(body: Buffer): Result<EndpointReport, string>;
    createLayerOrder(address: string, order: LayerOrder): UpstreamRequest;
    /** Creates the order that moves a running request to another chain with the same first stage. */
    createRerouteOrder(address: string, requestId: string, stages: RelayStage[]): UpstreamRequest;
    readOrderOutcome(status: number, body: Buffer): OrderOutcome;
}
