import type { AnswerWriter } from "../../connection/caller/answerWriter.ts";
import type { DocumentAnswer } from "../../connection/document/documentAnswer.ts";
import type { DocumentCall } from "../../connection/document/documentCall.ts";
import { Err, Ok, type Result } from "../../result.ts";
import type { DocumentServiceConfiguration } from "../../version/configuration.ts";
import { admitRequest } from "../admitRequest.ts";
import { claimRequest, type RequestClaim } from "../claimRequest.ts";
import type { RequestContext } from "../requestContext.ts";
import type { RequestEnvironment } from "../requestEnvironment.ts";
import { RequestError } from "../requestError.ts";
import { settleOnThrow } from "../settleOnThrow.ts";
import { runDocumentCall } from "./runDocumentCall.ts";

/** HTTP call of a caller to a document service. */
export interface DocumentRequest {
    service: string;
    method: string;
    /** Path and query after the service's name, with the leading slash. */
    path: string;
    /** Headers to forward to the service. */
    headers: Record<string, string>;
    body: Buffer;
}

const safeMethods: ReadonlySet<string> = new Set(["GET", "HEAD", "OPTIONS"]);
const documentCallCost = 1;
const millisecondsPerSecond = 1_000;

/**
 * Handles a request to `/v1/services/NAME/...`.
 * @param environment - Shared services of the process.
 * @param context - Context of the request.
 * @param request - Call to the document service.
 * @param writer - Writes the final answer, unless an error is returned.
 */
export async function handleDocument(
    environment: RequestEnvironment,
    context: RequestContext,
    request: DocumentRequest,
    writer: AnswerWriter,
): Promise<Result<void, RequestError>> {
    const service = findService(context, request.service);
    if (!service.ok) {
        return service;
    }
    const ticket = await admitRequest(environment, context, request.service, documentCallCost);
    if (!ticket.ok) {
        return ticket;
    }
    try {
        return await runAdmitted(environment, context, request, service.val, writer);
    }
    finally {
        ticket.val.release({ tokens: documentCallCost });
    }
}

function findService(context: RequestContext, name: string): Result<DocumentServiceConfiguration, RequestError> {
    const { services } = context.version.configuration;
    const service = Object.hasOwn(services, name) ? services[name] : undefined;
    if (service?.kind === "document") {
        return Ok(service);
    }
    const known: string[] = [];
    for (const [knownName, configuration] of Object.entries(services)) {
        if (configuration.kind === "document") {
            known.push(knownName);
        }
    }
    const message = `There is no document service ${JSON.stringify(name)}. Use one of: ${known.join(", ")}.`;
    return Err(RequestError.invalid(404, "service_not_found", message));
}

async function runAdmitted(
    environment: RequestEnvironment,
    context: RequestContext,
    request: DocumentRequest,
    service: DocumentServiceConfiguration,
    writer: AnswerWriter,
): Promise<Result<void, RequestError>> {
    const isIdempotent = service.idempotent || safeMethods.has(request.method);
    const content = [request.method, request.service, request.path, request.body];
    const claim = await claimRequest(environment, context, isIdempotent, content);
    if (!claim.ok) {
        return claim;
    }
    if (claim.val.kind === "answered") {
        const { status, contentType, body } = claim.val.answer;
        writer.sendResponse(status, contentType, body, { "x-request-id": context.id, "x-foxlead-replayed": "true" });
        return Ok.EMPTY;
    }
    const call = createCall(context, request, claim.val);
    const answer = await settleOnThrow(environment, claim.val, () => {
        return runDocumentCall(environment, context, service, call);
    });
    settleClaim(environment, claim.val, answer);
    if (!answer.ok) {
        return answer;
    }
    const { status, contentType, body, pauseMilliseconds } = answer.val;
    const headers: Record<string, string> = { "x-request-id": context.id };
    if (pauseMilliseconds !== undefined) {
        headers["retry-after"] = String(Math.ceil(pauseMilliseconds / millisecondsPerSecond));
    }
    writer.sendResponse(status, contentType, body, headers);
    return Ok.EMPTY;
}

function createCall(context: RequestContext, request: DocumentRequest, claim: RequestClaim): DocumentCall {
    const headers: Record<string, string> = { ...request.headers, "x-request-id": context.id };
    if (context.idempotencyKey !== undefined) {
        headers["idempotency-key"] = context.idempotencyKey;
    }
    const { method, path, body } = request;
    return { method, path, headers, body, isIdempotent: claim.kind === "unclaimed" };
}

function settleClaim(
    environment: RequestEnvironment,
    claim: RequestClaim,
    answer: Result<DocumentAnswer, RequestError>,
): void {
    if (claim.kind !== "granted") {
        return;
    }
    if (answer.ok) {
        environment.claims.settle(claim.key, { kind: "finished", answer: answer.val });
        return;
    }
    environment.claims.settle(claim.key, { kind: answer.val.outcome === "notRun" ? "notRun" : "unknown" });
}
