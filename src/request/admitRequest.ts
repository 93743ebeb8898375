import { Err, Ok, type Result } from "../result.ts";
import type { AdmissionTicket } from "./admission/admissionTicket.ts";
import { RefusalKind } from "./admission/refusalKind.ts";
import type { RequestContext } from "./requestContext.ts";
import type { RequestEnvironment } from "./requestEnvironment.ts";
import { RequestError } from "./requestError.ts";

const tooManyRequestsStatus = 429;
const unavailableStatus = 503;
const noEndpointCode = "no_endpoint";
const noEndpointRetryMilliseconds = 1_000;

/** Error codes in the answers to callers, by kind of refusal. */
const refusalCodes: Readonly<Record<RefusalKind, string>> = {
    [RefusalKind.QueueFull]: "queue_full",
    [RefusalKind.WaitTooLong]: "wait_too_long",
    [RefusalKind.RateLimited]: "rate_limited",
    [RefusalKind.Draining]: "draining",
    [RefusalKind.Cancelled]: "cancelled",
};

/**
 * Waits until a request is admitted, or gets the "not run" error of its refusal.
 * @param environment - Services of the process.
 * @param context - The request.
 * @param gate - Name of the gate, see `getGateName`.
 * @param cost - Expected cost in tokens; 1 for a call of a document service.
 */
export async function admitRequest(
    environment: RequestEnvironment,
    context: RequestContext,
    gate: string,
    cost: number,
): Promise<Result<AdmissionTicket, RequestError>> {
    if (environment.getGateCapacity(gate) === 0) {
        environment.metrics.refusalsTotal.inc({ reason: noEndpointCode });
        return Err(RequestError.notRun(context.permit, {
            status: unavailableStatus,
            code: noEndpointCode,
            message: "No endpoint can serve the request now. Send it again later.",
            retryAfterMilliseconds: noEndpointRetryMilliseconds * (1 + environment.random()),
        }));
    }
    const span = environment.tracing.startSpan("admission", { parent: context.span.context });
    const { customer, deadline, signal } = context;
    const admission = await environment.admission.requestAdmission({ customer, gate, cost, deadline, signal });
    span.end();
    if (admission.ok) {
        return Ok(admission.val);
    }
    const refusal = admission.val;
    if (refusal.kind === RefusalKind.Cancelled) {
        return Err(RequestError.cancelled());
    }
    environment.metrics.refusalsTotal.inc({ reason: refusalCodes[refusal.kind] });
    return Err(RequestError.notRun(context.permit, {
        status: refusal.kind === RefusalKind.RateLimited ? tooManyRequestsStatus : unavailableStatus,
        code: refusalCodes[refusal.kind],
        message: refusal.message,
        retryAfterMilliseconds: refusal.retryAfterMilliseconds,
    }));
}
