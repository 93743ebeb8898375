import type { IncomingHttpHeaders } from "node:http";
import type { AnswerHead } from "../../src/request/relay/answerHead.ts";
import type { EndpointProtocol } from "../../src/request/relay/endpointProtocol.ts";
import type { ForwardingContext } from "../../src/request/relay/forwardingContext.ts";
import type { RoutedRequest } from "../../src/request/relay/routedRequest.ts";
import { Err } from "../../src/result.ts";

const emptyBody = Buffer.alloc(0);
const refusedStatus = 503;

/** How nodes speak to simulated engines: a request's headers hold all that the engines need to know. */
export const simulatedProtocol = {
    createRequest(request: RoutedRequest, { stages = [], lastEventId }: ForwardingContext) {
        const addresses = stages.map(({ endpoint }) => endpoint.address).join(",");
        const headers = [request.id, addresses, String(request.promptTokens), request.target, String(lastEventId)];
        return { method: "POST", target: "/", headers, body: emptyBody };
    },

    /** Reads what {@link createRequest} wrote. The events of the answer stand in the place of the path. */
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
        };
    },

    createReportRequest: () => ({ method: "GET", target: "/", headers: [], body: emptyBody }),
    readReport: () => Err("No reports are simulated."),
    createLayerOrder: () => ({ method: "POST", target: "/", headers: [], body: emptyBody }),
    createRerouteOrder: () => ({ method: "POST", target: "/", headers: [], body: emptyBody }),
    readOrderOutcome: () => ({ kind: "refused", faultyAddress: undefined }),
} satisfies EndpointProtocol & { readSent: unknown; };
