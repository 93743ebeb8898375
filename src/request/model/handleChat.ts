import type { AnswerWriter } from "../../connection/caller/answerWriter.ts";
import { Err, Ok, type Result } from "../../result.ts";
import type { ModelServiceConfiguration } from "../../version/configuration.ts";
import type { AdmissionTicket } from "../admission/admissionTicket.ts";
import { admitRequest } from "../admitRequest.ts";
import type { Chain } from "../chain/chain.ts";
import { claimRequest, type RequestClaim } from "../claimRequest.ts";
import { getGateName } from "../getGateName.ts";
import type { KeptAnswer } from "../keptAnswer.ts";
import type { RequestContext } from "../requestContext.ts";
import type { RequestEnvironment } from "../requestEnvironment.ts";
import { RequestError } from "../requestError.ts";
import { settleOnThrow } from "../settleOnThrow.ts";
import { ChatAnswer } from "./chatAnswer.ts";
import { type ChatRequest, parseChatRequest } from "./chatRequest.ts";
import { createGenerationObserver } from "./createGenerationObserver.ts";
import { type GenerationSummary, runGeneration } from "./runGeneration.ts";
import { TokenLatencyRecorder } from "./tokenLatencyRecorder.ts";

const defaultMaximumTokens = 256;
const bytesPerToken = 4;
const millisecondsPerSecond = 1_000;

/** State of one chat request. */
interface ChatRun {
    environment: RequestEnvironment;
    context: RequestContext;
    writer: AnswerWriter;
    chat: ChatRequest;
    service: ModelServiceConfiguration;
    maximumTokens: number;
    answer: ChatAnswer;
    headers: Record<string, string>;
    /** Texts of the accepted tokens. Tokens without text are left out. */
    tokenTexts: string[];
}

/**
 * Handles `POST /v1/chat/completions`.
 * @param environment - Shared services of the process.
 * @param context - Context of the request.
 * @param body - Body of the request.
 * @param writer - Writes the final answer, unless an error is returned.
 */
export async function handleChat(
    environment: RequestEnvironment,
    context: RequestContext,
    body: Buffer,
    writer: AnswerWriter,
): Promise<Result<void, RequestError>> {
    const run = createChatRun(environment, context, body, writer);
    if (!run.ok) {
        return run;
    }
    const cost = run.val.chat.prompt.length / bytesPerToken + run.val.maximumTokens;
    const ticket = await admitRequest(environment, context, getGateName(run.val.chat.service, run.val.service), cost);
    if (!ticket.ok) {
        return ticket;
    }
    try {
        return await runAdmitted(run.val, ticket.val, body);
    }
    finally {
        ticket.val.release({ tokens: getUsedTokens(run.val) });
    }
}

function createChatRun(
    environment: RequestEnvironment,
    context: RequestContext,
    body: Buffer,
    writer: AnswerWriter,
): Result<ChatRun, RequestError> {
    const parsed = parseChatRequest(body);
    if (!parsed.ok) {
        return parsed;
    }
    const chat = parsed.val;
    const { services, limits } = context.version.configuration;
    const service = Object.hasOwn(services, chat.service) ? services[chat.service] : undefined;
    if (service?.kind !== "model") {
        return Err(createUnknownServiceError(context, chat.service));
    }
    const maximumTokens = Math.min(chat.maximumTokens ?? defaultMaximumTokens, limits.maximumTokens);
    const created = Math.floor(environment.clock.getWallTime() / millisecondsPerSecond);
    const answer = ChatAnswer.create({ id: `chatcmpl-${context.id}`, model: chat.service, created });
    const headers = { "x-request-id": context.id };
    return Ok({ environment, context, writer, chat, service, maximumTokens, answer, headers, tokenTexts: [] });
}

/** Gets the estimated number of tokens that the engines processed. 0 if nothing ran. */
function getUsedTokens(run: ChatRun): number {
    return run.context.permit.isAvailable() ? 0 : run.chat.prompt.length / bytesPerToken + run.tokenTexts.length;
}

function createUnknownServiceError(context: RequestContext, name: string): RequestError {
    const known: string[] = [];
    for (const [service, configuration] of Object.entries(context.version.configuration.services)) {
        if (configuration.kind === "model") {
            known.push(service);
        }
    }
    const message = `There is no model ${JSON.stringify(name)}. Use one of: ${known.join(", ")}.`;
    return RequestError.invalid(404, "model_not_found", message);
}

async function runAdmitted(run: ChatRun, ticket: AdmissionTicket, body: Buffer): Promise<Result<void, RequestError>> {
    const content = ["POST", "/v1/chat/completions", body];
    const claim = await claimRequest(run.environment, run.context, run.service.idempotent, content);
    if (!claim.ok) {
        return claim;
    }
    if (claim.val.kind === "answered") {
        replayAnswer(run, claim.val.answer);
        return Ok.EMPTY;
    }
    const outcome = await settleOnThrow(run.environment, claim.val, () => generate(run, ticket, claim.val));
    settleClaim(run, claim.val, outcome);
    if (!outcome.ok) {
        return outcome;
    }
    sendAnswer(run, outcome.val);
    return Ok.EMPTY;
}

async function generate(
    run: ChatRun,
    ticket: AdmissionTicket,
    claim: RequestClaim,
): Promise<Result<GenerationSummary, RequestError>> {
    const { environment, context, service, chat, writer } = run;
    const recorder = TokenLatencyRecorder.create(environment.clock, environment.metrics, context.arrivedAt);
    return await runGeneration({
        request: context.id,
        model: service.model,
        layers: context.version.configuration.models[service.model]!.layers,
        prompt: chat.prompt,
        maximumTokens: run.maximumTokens,
        priority: ticket.priority,
        dataCentre: environment.dataCentre,
        permit: context.permit,
        // A claimed request continues after its caller disconnects, so that a repeated request gets the answer.
        signal: claim.kind === "granted" ? context.stopSignal : context.signal,
        stopSignal: context.stopSignal,
        chooser: environment.chooser,
        clock: environment.clock,
        observer: createGenerationObserver(environment, context, ticket.gate),
        getConnection: endpoint => environment.endpoints.getEngine(endpoint),
        getPauseMilliseconds: () =>
            environment.endpoints.getPauseMilliseconds(environment.endpoints.getNames("engine")),
        onChainChosen: chain => {
            run.headers["x-foxlead-chain"] = formatChain(chain);
        },
        onText: text => {
            recorder.observeToken();
            run.tokenTexts.push(text);
            if (chat.isStreamed) {
                startStreamOnce(run);
                writer.writeText(text);
            }
        },
    });
}

function startStreamOnce(run: ChatRun): void {
    if (!run.writer.isStreaming()) {
        run.writer.startStream(run.headers, text => run.answer.createTextChunk(text));
    }
}

function sendAnswer(run: ChatRun, summary: GenerationSummary): void {
    if (run.chat.isStreamed) {
        startStreamOnce(run);
        run.writer.endStream(run.answer.createFinalChunks(summary.finishReason));
        return;
    }
    run.writer.sendResponse(
        200,
        "application/json",
        run.answer.createCompletion(run.tokenTexts.join(""), summary),
        run.headers,
    );
}

function replayAnswer(run: ChatRun, keptAnswer: KeptAnswer): void {
    const headers = { ...run.headers, "x-foxlead-replayed": "true" };
    if (!run.chat.isStreamed) {
        run.writer.sendResponse(keptAnswer.status, keptAnswer.contentType, keptAnswer.body, headers);
        return;
    }
    const { text, finishReason } = ChatAnswer.parseCompletion(keptAnswer.body);
    run.writer.startStream(headers, part => run.answer.createTextChunk(part));
    run.writer.writeText(text);
    run.writer.endStream(run.answer.createFinalChunks(finishReason));
}

function settleClaim(
    run: ChatRun,
    claim: RequestClaim,
    outcome: Result<GenerationSummary, RequestError>,
): void {
    if (claim.kind !== "granted") {
        return;
    }
    const { claims } = run.environment;
    if (outcome.ok) {
        const body = Buffer.from(run.answer.createCompletion(run.tokenTexts.join(""), outcome.val));
        claims.settle(claim.key, { kind: "finished", answer: { status: 200, contentType: "application/json", body } });
        return;
    }
    claims.settle(claim.key, { kind: outcome.val.outcome === "notRun" ? "notRun" : "unknown" });
}

function formatChain(chain: Chain): string {
    return chain.stages.map(stage => `${stage.endpoint}[${stage.layerStart}-${stage.layerEnd})`).join(" ");
}
