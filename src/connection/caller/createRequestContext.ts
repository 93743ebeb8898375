import type { IncomingMessage } from "node:http";
import { v7 as createUuid } from "uuid";
import { parseTraceparent } from "../../process/tracing/parseTraceparent.ts";
import { NotRunPermit } from "../../request/notRunPermit.ts";
import type { RequestContext } from "../../request/requestContext.ts";
import { RequestError } from "../../request/requestError.ts";
import { Err, Ok, type Result } from "../../result.ts";
import type { CallerServerOptions } from "./callerServerOptions.ts";

const notReadyRetryMilliseconds = 1_000;

/**
 * Creates the context of a request: identifies its customer and reads its headers. Refuses the request if the node does
 * not accept requests.
 * @param options - Options of the server.
 * @param request - The caller's request.
 * @param arrivedAt - Monotonic time of its arrival, in milliseconds.
 * @param signals - Signals that abort the request.
 */
export function createRequestContext(
    options: CallerServerOptions,
    request: IncomingMessage,
    arrivedAt: number,
    signals: Pick<RequestContext, "signal" | "stopSignal">,
): Result<RequestContext, RequestError> {
    const { environment, getVersion, getRefusal } = options;
    const permit = NotRunPermit.create();
    const refusal = getRefusal();
    const current = getVersion();
    if (refusal !== undefined || current === undefined) {
        const fields = refusal ?? createNotReadyRefusal();
        return Err(RequestError.notRun(permit, { status: 503, ...fields }));
    }
    const customer = current.customers.getCustomer(getApiKey(request));
    if (customer === undefined) {
        const message = "No customer has this API key. Send `Authorization: Bearer KEY` with a key of this service.";
        return Err(RequestError.invalid(401, "invalid_api_key", message));
    }
    const id = createUuid();
    const parent = parseTraceparent(getHeader(request, "traceparent"));
    const span = environment.tracing.startSpan("request", { parent, attributes: { customer, request: id } });
    const timeout = Number(getHeader(request, "x-request-timeout-ms"));
    return Ok({
        id,
        customer,
        version: current.version,
        arrivedAt,
        idempotencyKey: getHeader(request, "idempotency-key"),
        isMarkedNonIdempotent: isMarkedNonIdempotent(request),
        deadline: timeout > 0 ? arrivedAt + timeout : undefined,
        ...signals,
        permit,
        span,
    });
}

function createNotReadyRefusal(): { code: string; message: string; retryAfterMilliseconds: number; } {
    const message = "This node has no configuration yet. Retry soon, or use another node.";
    return { code: "not_ready", message, retryAfterMilliseconds: notReadyRetryMilliseconds };
}

function getApiKey(request: IncomingMessage): string {
    const [scheme, key] = (request.headers.authorization ?? "").split(" ");
    return scheme?.toLowerCase() === "bearer" ? key ?? "" : "";
}

/** Any value except `true` marks the request, so that a misspelled value doesn't allow it to run twice. */
function isMarkedNonIdempotent(request: IncomingMessage): boolean {
    return (getHeader(request, "x-foxlead-idempotent") ?? "true").toLowerCase() !== "true";
}

function getHeader(request: IncomingMessage, name: string): string | undefined {
    const value = request.headers[name];
    return typeof value === "string" && value !== "" ? value : undefined;
}
