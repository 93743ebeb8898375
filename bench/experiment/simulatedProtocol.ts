import type { IncomingHttpHeaders } from "node:http";
import type { AnswerInstructions } from "../../src/connection/instructions/answerInstructions.ts";
import type { AnswerHead } from "../../src/request/relay/answers/answerHead.ts";
import type { EndpointProtocol } from "../../src/request/relay/endpointProtocol.ts";
import type { ForwardingContext } from "../../src/request/relay/forwardingContext.ts";
import type { RoutedRequest } from "../../src/request/relay/routedRequest.ts";
import { Err } from "../../src/result.ts";

const emptyBody = Buffer.alloc(0);
const refusedStatus = 503;
const noInstructions: AnswerInstructions = { isLeaving: false, pauseMilliseconds: undefined };

/** Protocol between nodes and simulated engines. The headers of a request hold everything that the engines need. */
export const simulatedProtocol = {
    createRequest(request: RoutedRequest, { stages = [], lastEventId }: ForwardingContext) {
        const addresses = stages.map(({ endpoint }) => endpoint.address).join(",");
        const headers = [request.id, addresses, String(request.promptTokens), request.target, String(lastEventId)];
        return { method: "POST", target: "/", headers, body: emptyBody };
    },

    /**
     * Reads the headers written by {@link createRequest}. The target of the request is the number of events in the
     * answer.
     */
    readSent([requestId = "", addresses = "", promptTokens, events, lastEvent]: readonly string[]) {
        return {
            requestId,
            addresses: addresses.split(","),
            promptTokens: Number(promptTokens),
            events: Number(events),
            lastEvent: Number(lastEvent),
        };
    },

    readHead(status: number, headers: IncomingHttpHeaders): AnswerHead {
        const address = headers["at-server"];
        return {
            status,
            headers: [],
            isForRequest: true,
            isSigned: true,
            isNotRun: status === refusedStatus,
            faultyAddress: typeof address === "string" ? address : undefined,
            requestsPerSecond: undefined,
            instructions: noInstructions,
        };
    },

    readInstructions: () => noInstructions,

    createReportRequest: () => ({ method: "GET", target: "/", headers: [], body: emptyBody }),
    readReport: () => Err("Reports are not simulated."),
    createLayerOrder: () => ({ method: "POST", target: "/", headers: [], body: emptyBody }),
    createRerouteOrder: () => ({ method: "POST", target: "/", headers: [], body: emptyBody }),
    readOrderOutcome: () => ({ kind: "refused", faultyAddress: undefined }),
} satisfies EndpointProtocol & { readSent: unknown; };
